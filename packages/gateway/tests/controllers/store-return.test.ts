import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as returningStore from '../support/returning-store.js';
import * as simulatedFleet from '../support/simulated-fleet.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {LogEvent: events} = core.log;
const warmUpMs = 4000;
const settleMs = 25_000;
const checkIntervalMs = 50;
/** Time after a fault of a VM during which it may not have read the newest entries, in milliseconds. */
const recoveryMs = 4000;

enum StepType {
	Config = 'config',
	Version = 'version',
	Engine = 'engine',
	/** Many writes, so that a return sets the revision back by much. */
	Burst = 'burst',
	Return = 'return',
	/** The store returns right after it has executed the next call of a type. */
	Trap = 'trap',
	Cut = 'cut',
	Suspend = 'suspend',
	LoseResponses = 'lose_responses',
	DelayResponses = 'delay_responses',
}

type Step = {
	readonly type: StepType;
	readonly waitMs: number;
	readonly vm: number;
	readonly ms: number;
	readonly ageMs: number;
	readonly trap: returningStore.CallType;
};

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
	type: fc.constantFrom(...Object.values(StepType), StepType.Return, StepType.Trap, StepType.Version),
	waitMs: fc.integer({min: 0, max: 1500}),
	vm: fc.nat({max: 6}),
	ms: fc.integer({min: 50, max: 5000}),
	ageMs: fc.integer({min: 100, max: 4000}),
	trap: fc.constantFrom(...Object.values(returningStore.CallType)),
});

/** What a VM had in force; none of it may go back. */
type InForce = {readonly config: number; readonly weights: number; readonly fence: number; readonly engines: number};

function readInForce(vm: simulatedFleet.SimulatedVm): InForce {
	return {
		config: vm.config.table?.config.version ?? 0, weights: vm.fleet.targets.newestVersions().get('m') ?? 0, fence: vm.fleet.plan.fence, engines: vm.fleet.registry.list().length,
	};
}

class Run {
	readonly fleet: simulatedFleet.SimulatedFleet;
	readonly #inForce: InForce[] = [];
	/** When a VM's news of the store are again as old as those of others. */
	readonly #disturbedUntil = new Map<simulatedFleet.SimulatedVm, number>();

	constructor(vmCount: number, seed: number) {
		this.fleet = new simulatedFleet.SimulatedFleet(vmCount, 5, seed);
	}

	apply(step: Step): void {
		const {fleet} = this;
		const vm = fleet.vms[step.vm % fleet.vms.length]!;
		const awayMs = step.ms % 700;
		const actions: Readonly<Record<StepType, () => void>> = {
			[StepType.Config]() {
				fleet.changeConfig();
			},
			[StepType.Version]() {
				fleet.nameVersion();
			},
			[StepType.Burst]() {
				fleet.writeOften();
			},
			[StepType.Engine]() {
				fleet.addEngine();
			},
			[StepType.Return]() {
				fleet.returnFromCopy(step.ageMs, awayMs);
			},
			[StepType.Trap]() {
				fleet.store.trap = {
					type: step.trap, spring() {
						fleet.returnFromCopy(step.ageMs, awayMs);
					},
				};
			},
			[StepType.Cut]: () => {
				this.#disturb(vm, step.ms, {isCut: true}, {isCut: false});
			},
			[StepType.Suspend]: () => {
				vm.suspend(step.ms);
				this.#disturb(vm, step.ms, {}, {});
			},
			[StepType.LoseResponses]: () => {
				this.#disturb(vm, step.ms, {losesResponses: true}, {losesResponses: false});
			},
			[StepType.DelayResponses]: () => {
				this.#disturb(vm, step.ms, {responseDelayMs: 600}, {responseDelayMs: 0});
			},
		};
		actions[step.type]();
	}

	/** Runs for a time, and checks what must hold at any time. */
	async runFor(ms: number): Promise<void> {
		const {time, vms} = this.fleet;
		for (const endsAt = time.now + ms; time.now < endsAt;) {
			await time.runUntil(Math.min(endsAt, time.now + checkIntervalMs)); // eslint-disable-line no-await-in-loop -- One interval after the other.
			for (const [index, vm] of vms.entries()) {
				const now = readInForce(vm);
				const before = this.#inForce[index] ?? now;
				expect(now.config, `configuration of ${vm.name}`).to.be.at.least(before.config);
				expect(now.weights, `named version of ${vm.name}`).to.be.at.least(before.weights);
				expect(now.fence, `fence of the plan of ${vm.name}`).to.be.at.least(before.fence);
				if (time.now >= (this.#disturbedUntil.get(vm) ?? 0)) {
					expect(now.engines, `engines that ${vm.name} knows at ${time.now}`).to.be.at.least(before.engines);
				}

				this.#inForce[index] = now;
			}
		}
	}

	checkOrders(): void {
		let last: simulatedFleet.CarriedOutOrder | undefined;
		for (const order of this.fleet.carriedOut) {
			if (last !== undefined && last.vm !== order.vm) {
				expect(order.at - last.at, `time between orders of ${last.vm} and ${order.vm} at ${order.at}`).to.be.at.least(simulatedFleet.leaderOrderGapMs);
				expect(order.fence).to.be.greaterThan(last.fence);
			}

			expect(order.fence).to.be.at.least(last?.fence ?? 0);
			last = order;
		}
	}

	/** Checks that all VMs have come to the same state as the store, and engines to the newest weights. */
	checkEnd(): void {
		const {store, vms, engines, configVersion, weightVersion, returns} = this.fleet;
		expect(store.findings).to.deep.equal([]);
		expect(vms.filter(vm => vm.lease.isLeading)).to.have.lengthOf(1);
		for (const vm of vms) {
			expect(store.items.has(`${gateway.controllers.vmKeyPrefix}${vm.name}`), `key of ${vm.name}`).to.equal(true);
			expect(vm.config.table?.config.version).to.equal(configVersion);
			expect(vm.fleet.targets.newestVersions().get('m')).to.equal(weightVersion);
			expect(vm.coordination.state.planRevision).to.equal(store.items.get(gateway.controllers.rolloutPlanKey)?.revision ?? 0);
			expect(vm.fleet.vmCount).to.equal(vms.length);
			expect(vm.fleet.registry.list().map(({id}) => id).sort()).to.deep.equal([...engines.keys()].sort());
			const rises = vm.events.filter(({event}) => event === events.StoreReturned);
			expect(rises.length).to.be.at.most(returns);
			expect(rises.at(-1)?.fields.era ?? 1).to.equal(returns + 1);
		}

		expect([...engines.values()].map(({version}) => version)).to.deep.equal(Array.from({length: engines.size}, () => weightVersion));
	}

	#disturb(vm: simulatedFleet.SimulatedVm, ms: number, on: Partial<returningStore.Link>, off: Partial<returningStore.Link>): void {
		Object.assign(vm.link, on);
		this.#disturbedUntil.set(vm, Math.max(this.#disturbedUntil.get(vm) ?? 0, this.fleet.time.now + ms + recoveryMs));
		this.fleet.time.schedule(ms, () => {
			Object.assign(vm.link, off);
		});
	}
}

async function play(vmCount: number, seed: number, steps: readonly Step[]): Promise<Run> {
	const run = new Run(vmCount, seed);
	await run.runFor(warmUpMs);
	for (const step of steps) {
		run.apply(step);
		await run.runFor(step.waitMs); // eslint-disable-line no-await-in-loop -- One step after the other.
	}

	run.fleet.store.trap = undefined;
	await run.runFor(settleMs);
	run.checkOrders();
	run.checkEnd();
	return run;
}

describe('VMs over a store that returns from copies', () => {
	const step: Step = {
		type: StepType.Return, waitMs: 0, vm: 0, ms: 100, ageMs: 1000, trap: returningStore.CallType.Grant,
	};
	const cases: ReadonlyArray<{readonly name: string; readonly steps: ReadonlyArray<Partial<Step>>}> = [
		{name: 'nothing happens', steps: []},
		{name: 'it returns during a roll-out', steps: [{type: StepType.Version, waitMs: 600}, {waitMs: 500}]},
		{name: 'it returns several times in a row', steps: [{waitMs: 900}, {waitMs: 900}, {waitMs: 300}, {type: StepType.Version}]},
		{name: 'it returns during a snapshot', steps: [{waitMs: 105}, {type: StepType.Trap, trap: returningStore.CallType.Page}]},
		{name: 'it returns during the grant of a lease', steps: [{waitMs: 105}, {type: StepType.Trap, waitMs: 500}, {type: StepType.Version}]},
		{name: 'it returns while a VM is cut off', steps: [{type: StepType.Cut, ms: 4000, waitMs: 500}, {type: StepType.Config, waitMs: 300}, {type: StepType.Return}]},
		{
			name: 'it returns while the VMs are suspended', steps: [
				{type: StepType.Version, waitMs: 300}, {type: StepType.Suspend, ms: 3000}, {
					type: StepType.Suspend, vm: 1, ms: 2000, waitMs: 400,
				}, {},
			],
		},
	];
	for (const {name, steps} of cases) {
		it(`come to one state when ${name}`, async () => {
			const run = await play(3, 28, steps.map(item => ({...step, ...item})));
			expect(run.fleet.carriedOut.length > 0).to.equal(steps.some(({type}) => type === StepType.Version));
		}).timeout(20_000);
	}

	it('take turns at the full distance, and give orders that engines accept, whatever the age of the copy', async () => {
		// The leader of the second era is elected after many writes, and publishes its plan as the last thing before the next return.
		for (let ageMs = 3400; ageMs <= 5200; ageMs += 60) {
			const steps: ReadonlyArray<Partial<Step>> = [
				{waitMs: 150}, {type: StepType.Burst, waitMs: 4000}, {type: StepType.Version}, {
					type: StepType.Trap, trap: returningStore.CallType.Write, ageMs, ms: 250, waitMs: 1000,
				}, {type: StepType.Version},
			];
			const run = await play(4, ageMs, steps.map(item => ({...step, ...item}))); // eslint-disable-line no-await-in-loop -- One age after the other.
			expect(run.fleet.carriedOut).to.not.have.lengthOf(0);
		}
	}).timeout(60_000);

	it('come to one state after any sequence of writes, returns and faults', async () => {
		await fc.assert(fc.asyncProperty(fc.integer({min: 2, max: 7}), fc.integer(), fc.array(stepArbitrary, {maxLength: 14}), async (vmCount, seed, steps) => {
			await play(vmCount, seed, steps);
		}), {seed: 28, numRuns: 25, endOnFailure: true});
	}).timeout(120_000);
});
