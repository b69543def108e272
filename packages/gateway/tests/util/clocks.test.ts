import * as perfHooks from 'node:perf_hooks';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;

/** Simulated clocks of the system. */
class SimulatedSystem {
	monotonic = 1000;
	wall = 1_700_000_000_000;

	/** Advances both clocks. */
	advance(ms: number): void {
		this.monotonic += ms;
		this.wall += ms;
	}

	/** Suspends the VM: the monotonic clock does not advance. */
	suspend(ms: number): void {
		this.wall += ms;
	}

	/** Sets the wall clock forward or back. */
	step(ms: number): void {
		this.wall += ms;
	}
}

describe('SystemClocks', () => {
	const realNow = Date.now;
	const realMonotonic = perfHooks.performance.now;
	let system: SimulatedSystem;
	let clocks: gateway.util.SystemClocks;

	beforeEach(() => {
		system = new SimulatedSystem();
		Date.now = () => system.wall;
		perfHooks.performance.now = () => system.monotonic;
		clocks = new gateway.util.SystemClocks();
	});

	afterEach(() => {
		Date.now = realNow;
		perfHooks.performance.now = realMonotonic;
	});

	/** Returns how far the suspend-aware clock advances during an action. */
	function measureAge(action: () => void): number {
		const before = clocks.suspendAwareNow();
		action();
		return clocks.suspendAwareNow() - before;
	}

	it('includes a suspension during which the monotonic clock does not advance', () => {
		expect(measureAge(() => {
			system.advance(200);
			system.suspend(5000);
		})).to.equal(5200);
	});

	it('treats a wall clock that is set forward as a suspension, so that ages are overestimated', () => {
		expect(measureAge(() => {
			system.step(2400);
		})).to.equal(2400);
	});

	it('does not go back when the wall clock is set back, and includes a later suspension', () => {
		expect(measureAge(() => {
			system.advance(100);
			system.step(-30_000);
		})).to.equal(100);
		expect(measureAge(() => {
			system.suspend(4000);
		})).to.equal(4000);
	});

	it('includes each suspension even if the wall clock is set back in between', () => {
		const before = clocks.suspendAwareNow();
		for (const ms of [3000, 2000]) {
			system.suspend(ms);
			clocks.suspendAwareNow();
			system.step(-ms);
			clocks.suspendAwareNow();
		}

		expect(clocks.suspendAwareNow() - before).to.equal(5000);
	});

	it('does not treat slewing of the wall clock as a suspension', () => {
		expect(measureAge(() => {
			system.advance(1000);
			system.step(90);
		})).to.equal(1000);
	});
});
