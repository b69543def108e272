import * as perfHooks from 'node:perf_hooks';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;

/** Time sources of the machine, moved by hand. */
class Machine {
	steady = 1000;
	wall = 1_700_000_000_000;

	/** Lets time pass for both clocks. */
	pass(ms: number): void {
		this.steady += ms;
		this.wall += ms;
	}

	/** Suspends the VM: its steady clock stands still. */
	suspend(ms: number): void {
		this.wall += ms;
	}

	/** Sets the time of day. */
	step(ms: number): void {
		this.wall += ms;
	}
}

describe('SystemClocks', () => {
	const realNow = Date.now;
	const realSteady = perfHooks.performance.now;
	let machine: Machine;
	let clocks: gateway.util.SystemClocks;

	beforeEach(() => {
		machine = new Machine();
		Date.now = () => machine.wall;
		perfHooks.performance.now = () => machine.steady;
		clocks = new gateway.util.SystemClocks();
	});

	afterEach(() => {
		Date.now = realNow;
		perfHooks.performance.now = realSteady;
	});

	/** Age of a moment after something happened, by the clock that counts suspensions. */
	function ageAfter(happen: () => void): number {
		const before = clocks.suspendAwareNow();
		happen();
		return clocks.suspendAwareNow() - before;
	}

	it('counts a suspension that the steady clock misses', () => {
		expect(ageAfter(() => {
			machine.pass(200);
			machine.suspend(5000);
		})).to.equal(5200);
	});

	it('takes a clock that is set forward for a suspension, so that ages err to the old side', () => {
		expect(ageAfter(() => {
			machine.step(2400);
		})).to.equal(2400);
	});

	it('never goes back when the clock is set back, and counts a suspension after that', () => {
		expect(ageAfter(() => {
			machine.pass(100);
			machine.step(-30_000);
		})).to.equal(100);
		expect(ageAfter(() => {
			machine.suspend(4000);
		})).to.equal(4000);
	});

	it('counts suspensions one by one, however the clock was set between them', () => {
		const before = clocks.suspendAwareNow();
		for (const ms of [3000, 2000]) {
			machine.suspend(ms);
			clocks.suspendAwareNow();
			machine.step(-ms);
			clocks.suspendAwareNow();
		}

		expect(clocks.suspendAwareNow() - before).to.equal(5000);
	});

	it('takes the slewing of a clock for what it is', () => {
		expect(ageAfter(() => {
			machine.pass(1000);
			machine.step(90);
		})).to.equal(1000);
	});
});
