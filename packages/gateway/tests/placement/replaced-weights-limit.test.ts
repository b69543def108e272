import * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const maxOutdatedWeightsMs = 6000;
const poolName = 'llm';
const engine: core.fleet.EndpointEntry = {
	id: 'engine-1',
	bornAt: 1,
	pool: poolName,
	address: '10.0.0.1:80',
	dataCentre: 'dc-a',
	slots: 64,
	state: core.fleet.EndpointState.Ready,
	weights: new Map([['m', 1]]),
};

/** A VM with one engine that keeps version 1 of the weights, in virtual time. */
class VmWithOldEngine {
	now = 0;
	/** Time that the VM was suspended, in milliseconds. */
	suspendedMs = 0;
	readonly fleet = new gateway.placement.FleetState();
	readonly #clock: gateway.util.Clocks = {
		monotonicNow: () => this.now,
		suspendAwareNow: () => this.now + this.suspendedMs,
		wallNow: () => this.now + this.suspendedMs,
	};

	readonly #operator = new gateway.controllers.OperatorController({
		decoder: {
			prefixes: {operator: 'op/', endpoints: 'servers/'},
			decode: entry => ({type: gateway.ports.StoreEntryType.WeightTarget, model: 'm', version: entry.revision}),
			endpointIdOf: () => undefined,
		},
		config: new core.routing.ConfigState(),
		fleet: this.fleet,
		log: {write: () => undefined},
		unseenVersionAgeMs: maxOutdatedWeightsMs / 2,
		onConfigAccepted: () => undefined,
	});

	readonly #coordination = new gateway.controllers.CoordinationController(this.fleet, this.#clock, {write: () => undefined});

	readonly #pauses = new gateway.placement.EndpointPauses({clock: this.#clock, log: {write: () => undefined}, random: () => 0});
	readonly #placer = new gateway.placement.EndpointPlacer(this.fleet, this.#pauses, {
		dataCentre: 'dc-a', maxOutdatedWeightsMs, costs: core.fleet.defaultPlacementCosts, admission: core.fleet.defaultAdmissionLimits,
	});

	/** @param version - Version that was named before the VM started. */
	constructor(version = 1) {
		this.fleet.registry.put(engine, 0);
		this.#operator.onSnapshot([entryOf(version)], {
			startedAt: 0, changed: {after: -Infinity, assumed: 0, before: 0},
		});
	}

	/** Reads from the store that a version was named at most `maxAgeMs` ago. */
	readNamedVersion(version: number, maxAgeMs: number): void {
		const readAt = this.#clock.suspendAwareNow();
		this.#operator.onChange({key: 'op/version/m', entry: entryOf(version)}, {
			startedAt: 0, changed: {after: readAt - maxAgeMs, assumed: readAt - maxAgeMs, before: readAt},
		});
	}

	/** Reads a plan that states when version 2 was named, in milliseconds of the wall clock, and how long ago that was. */
	readPlan(seenAt: number, ageMs?: number): void {
		const {rolloutPlanKey: key} = gateway.controllers;
		const value = buffer.Buffer.from(JSON.stringify({
			fence: 1, round: 0, named: [['m', 2, seenAt, ageMs]], steps: [],
		}));
		this.#coordination.onChange({key, entry: {key, value, revision: 9}});
	}

	/** Whether a request is placed at the engine. */
	places(): boolean {
		return this.#placer.place(createRequest(), poolName, new Set(), gateway.util.readInstant(this.#clock)) !== undefined;
	}

	/** Whether a request that waits in the engine is taken back. */
	takesBack(): boolean {
		const placement = {weightVersion: 1} as unknown as gateway.placement.Placement;
		return this.#placer.mustTakeBack(createRequest(), placement, gateway.util.readInstant(this.#clock));
	}
}

function entryOf(version: number): {key: string; value: Uint8Array; revision: number} {
	return {key: 'op/version/m', value: buffer.Buffer.from(''), revision: version};
}

function createRequest(): gateway.call.RoutedRequest {
	const engineSpec = {
		slots: 64, memoryTokens: 100_000, bytesPerToken: 1000, linkMbps: 1000, models: ['m'],
	};
	const table = {
		config: {cacheStores: []},
		findPool: () => ({name: poolName, connectionLimit: 100, engine: engineSpec}),
	};
	const prompt = {
		model: 'm', promptTokens: 300, maxOutputTokens: 10, parts: [{id: 'question', tokens: 300}],
	};
	return {table, head: {prompt}, route: {priority: 0, targetLatencyMs: 500}} as unknown as gateway.call.RoutedRequest;
}

describe('limit on starts on replaced weights', () => {
	// Guards against a start after the limit: the request waits longer in its engine than was left when it was sent.
	it('takes a request back that waits in its engine until the limit is near', () => {
		const vm = new VmWithOldEngine();
		vm.now = 3012;
		vm.readNamedVersion(2, 10);
		vm.now = 7744;
		expect(vm.places()).to.equal(true);
		vm.now = 9012 - 400;
		expect(vm.takesBack()).to.equal(true);
	});

	// Guards against a limit that counts from when a VM read the version, although its calls to the store had failed until then.
	it('counts from the last confirmed read if the new version was read late', () => {
		const vm = new VmWithOldEngine();
		vm.now = 10_000;
		vm.readNamedVersion(2, 5500);
		expect(vm.places()).to.equal(false);
		expect(vm.takesBack()).to.equal(true);
	});

	// Guards against a limit on a clock that stands still while the VM is suspended.
	it('counts the time for which the VM was suspended', () => {
		const vm = new VmWithOldEngine();
		vm.now = 1000;
		vm.readNamedVersion(2, 10);
		vm.now = 1500;
		expect(vm.places()).to.equal(true);
		vm.suspendedMs = 5500;
		expect(vm.places()).to.equal(false);
		expect(vm.takesBack()).to.equal(true);
	});

	// Guards against a limit that counts from the start of a VM, when all VMs were killed before one could publish the time.
	it('assumes that a version it read first was named some time before', () => {
		const vm = new VmWithOldEngine(2);
		vm.now = 1000;
		expect(vm.places()).to.equal(true);
		vm.now = 2600;
		expect(vm.takesBack()).to.equal(true);
		vm.fleet.targets.addReported('m', 2, -100, 2600);
		expect(vm.takesBack()).to.equal(true);
	});

	// Guards against an assumed age that is too small after a restart of all VMs, since the clock of the leader's VM was ahead.
	it('is no later than the age in the plan allows, whatever the clock of the leader', () => {
		const vm = new VmWithOldEngine(2);
		vm.now = 300;
		vm.readPlan(2_000_000, 4700);
		expect(vm.places()).to.equal(true);
		vm.now = 400;
		expect(vm.places()).to.equal(false);
		vm.now = 1100;
		expect(vm.takesBack()).to.equal(true);
	});

	const published = [
		{name: 'ahead', clockErrorMs: 2400},
		{name: 'right', clockErrorMs: 0},
		{name: 'behind', clockErrorMs: -2400},
	];
	for (const {name, clockErrorMs} of published) {
		// Guards against a version that seems younger than it is, since the clock of the leader's VM was ahead when it published the time.
		it(`is not later than assumed for a VM that starts after the version was named, if the leader's clock is ${name}`, () => {
			const vm = new VmWithOldEngine(2);
			vm.now = 300;
			vm.readPlan(-1000 + clockErrorMs);
			vm.now = 2600;
			expect(vm.places()).to.equal(false);
			expect(vm.takesBack()).to.equal(true);
		});

		it(`is not later than assumed for a VM that reads the version after failed calls, if the leader's clock is ${name}`, () => {
			const vm = new VmWithOldEngine();
			vm.now = 10_000;
			vm.readNamedVersion(2, 5000);
			vm.readPlan(6000 + clockErrorMs);
			vm.now = 10_600;
			expect(vm.takesBack()).to.equal(true);
		});
	}
});
