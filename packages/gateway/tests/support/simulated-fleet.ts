import {Buffer} from 'node:buffer';
import * as core from '@bluebellmast/core';
import * as purify from 'purify-ts';
import * as returningStore from './returning-store.js';
import * as virtualTime from './virtual-time.js';
import * as gateway from '@bluebellmast/gateway';

const {controllers, ports} = gateway;
const model = 'm';
const leaseTickMs = 150;
const rolloutTickMs = 50;
const endpointTickMs = 100;
const orderLatencyMs = 5;
const loadMs = 700;
const burstWrites = 200;

/** Shortest time between orders of two leaders, in milliseconds. */
export const leaderOrderGapMs = 1000;

/** An order that an engine has carried out. */
export type CarriedOutOrder = {readonly at: number; readonly engine: string; readonly vm: string; readonly fence: number; readonly version: number};

type EngineState = {
	version: number;
	highestFence: number;
	accepted: number;
	busyUntil: number;
	/** When the engine was first listed. */
	readonly bornAt: number;
};

/** A VM with the controllers that follow the store, and its link to the store. */
export class SimulatedVm {
	readonly events: Array<{readonly event: core.log.LogEvent; readonly fields: Readonly<Record<string, unknown>>}> = [];
	readonly config = new core.routing.ConfigState();
	readonly fleet = new gateway.placement.FleetState();
	readonly link: returningStore.Link;
	readonly coordination: gateway.controllers.CoordinationController;
	readonly lease: gateway.controllers.LeaseController;
	#suspendedUntil = 0;
	#suspendedMs = 0;

	constructor(readonly name: string, private readonly simulation: SimulatedFleet) {
		const {time, store, random} = simulation;
		this.link = {
			isCut: false, losesResponses: false, responseDelayMs: 0,
			schedule: (ms, run) => {
				this.schedule(ms, run);
			},
		};
		const client = store.createClient(this.link);
		const clock: gateway.util.Clocks = {
			monotonicNow: () => time.now - this.#suspendedMs, suspendAwareNow: () => time.now, wallNow: () => time.now,
		};
		const log: gateway.util.EventLog = {
			write: (event, fields) => {
				this.events.push({event, fields});
			},
		};
		const decoder = new SimulatedDecoder();
		const draw = (): number => random.int(1000) / 1000;
		this.coordination = new controllers.CoordinationController(this.fleet, clock, log);
		this.lease = new controllers.LeaseController({
			vm: name, getOwnAddress: () => `${name}:1`, store: client, coordination: this.coordination, clock, log, random: draw,
		}, controllers.createVmLeaseOptions(leaderOrderGapMs));
		const admin = simulation.createAdmin(this);
		const pauses = new gateway.placement.EndpointPauses({clock, log, random: draw});
		const rollout = new controllers.RolloutController({
			recentVersions: {has: () => false, tick: async () => undefined},
			vm: name, store: client, coordination: this.coordination, lease: this.lease, fleet: this.fleet, pauses, config: this.config, admin, clock, log,
			limits: core.rollout.defaultRolloutLimits,
		});
		const endpoints = new controllers.EndpointController({
			decoder, config: this.config, fleet: this.fleet, pauses, admin, clock, log,
			connections: {retain: () => undefined, closeIdle: () => undefined} as unknown as gateway.endpoints.ConnectionPools,
			dispatcher: {
				abortOutdatedAttempts: () => undefined, abortPausedAttempts: () => undefined, replaceSilentAttempts: () => undefined,
			} as unknown as gateway.call.RequestDispatcher,
		});
		const operator = new controllers.OperatorController({
			decoder, config: this.config, fleet: this.fleet, log, unseenVersionAgeMs: 6000, onConfigAccepted: () => undefined,
		});
		client.eras.subscribe(new controllers.EraListener({coordination: this.coordination, leaseController: this.lease, log}));
		client.eras.subscribe({
			onEra: (_era, previous) => {
				if (previous !== undefined && this.lease.isLeading) {
					simulation.store.findings.push(`${name} leads on after it saw a newer era`);
				}
			},
		});
		const feed = new controllers.StoreFeed({
			store: client,
			eras: client.eras,
			prefix: '',
			listener: new controllers.PrefixListeners([
				{prefix: decoder.prefixes.operator, listener: operator},
				{prefix: decoder.prefixes.endpoints, listener: endpoints},
				{prefix: controllers.coordinationPrefix, listener: this.coordination},
			]),
			pollPauseMs: () => core.fleet.computePollPauseMs(this.fleet.vmCount),
			returnDelayMs: () => draw() * core.fleet.computePollPauseMs(this.fleet.vmCount),
			sleep: async ms => this.sleep(ms),
			clock,
			log,
		});
		void feed.run();
		void this.#repeat(leaseTickMs, async () => this.lease.tick());
		void this.#repeat(rolloutTickMs, async () => rollout.tick());
		void this.#repeat(endpointTickMs, async () => {
			endpoints.tick();
			this.coordination.tick();
		});
	}

	get isSuspended(): boolean {
		return this.simulation.time.now < this.#suspendedUntil;
	}

	/** Runs nothing on the VM for a time. */
	suspend(ms: number): void {
		if (!this.isSuspended) {
			this.#suspendedUntil = this.simulation.time.now + ms;
			this.#suspendedMs += ms;
		}
	}

	schedule(ms: number, run: () => void): void {
		const {time} = this.simulation;
		time.schedule(ms, () => {
			if (this.isSuspended) {
				this.schedule(this.#suspendedUntil - time.now, run);
			} else {
				run();
			}
		});
	}

	async sleep(ms: number): Promise<void> {
		return new Promise(resolve => {
			this.schedule(ms, resolve);
		});
	}

	async #repeat(intervalMs: number, run: () => Promise<void>): Promise<void> {
		for (;;) {
			await run(); // eslint-disable-line no-await-in-loop -- A periodic task.
			await this.sleep(intervalMs); // eslint-disable-line no-await-in-loop -- A periodic task.
		}
	}
}

/** VMs, engines and an operator over one store in virtual time. */
export class SimulatedFleet {
	readonly time = new virtualTime.VirtualTime();
	readonly random: core.util.SeededRandom;
	readonly store: returningStore.ReturningStore;
	readonly vms: SimulatedVm[];
	readonly engines = new Map<string, EngineState>();
	readonly carriedOut: CarriedOutOrder[] = [];
	/** Versions that the operator has written last. */
	configVersion = 1;
	weightVersion = 1;
	returns = 0;

	/** @param itemsPerPage - Page size of the store; small by default, so that a snapshot takes several pages. */
	constructor(vmCount: number, engineCount: number, seed: number, itemsPerPage = 4) {
		this.random = new core.util.SeededRandom(seed);
		this.store = new returningStore.ReturningStore(this.time, this.random, itemsPerPage);
		this.#writeConfig();
		this.#writeTarget();
		for (let index = 0; index < engineCount; index++) {
			this.addEngine();
		}

		this.vms = Array.from({length: vmCount}, (_, index) => new SimulatedVm(`vm-${index}`, this));
	}

	changeConfig(): void {
		this.configVersion += 1;
		this.#writeConfig();
	}

	/** Raises the revision by many writes. */
	writeOften(): void {
		for (let count = 0; count < burstWrites; count++) {
			this.#write('op/other', count);
		}
	}

	nameVersion(): void {
		this.weightVersion += 1;
		this.#writeTarget();
	}

	addEngine(): void {
		const id = `engine-${this.engines.size}`;
		this.engines.set(id, {
			version: 1, highestFence: 0, accepted: 0, busyUntil: 0, bornAt: this.time.now + 1,
		});
		this.#register(id);
	}

	/** Has the store return from a copy; its writers write again within two seconds what it has lost. */
	returnFromCopy(ageMs: number, awayMs: number): void {
		this.store.returnFromCopy(ageMs, awayMs, () => {
			this.returns += 1;
			for (const id of this.engines.keys()) {
				this.time.schedule(this.random.int(1800), () => {
					this.#register(id);
				});
			}

			this.time.schedule(this.random.int(1500), () => {
				this.#writeConfig();
				this.#writeTarget();
			});
		});
	}

	createAdmin(vm: SimulatedVm): gateway.ports.EndpointAdmin {
		return {
			checkHealth: async () => ({isAlive: true}),
			setLeavingListener: () => undefined,
			setLimitListener: () => undefined,
			readReport: async entry => {
				await vm.sleep(orderLatencyMs);
				const engine = this.engines.get(entry.id)!;
				return purify.Right({
					bornAt: engine.bornAt, weights: new Map([[model, engine.version]]), isBusy: engine.busyUntil > this.time.now, acceptedOrders: engine.accepted,
				});
			},
			orderWeightLoad: async (entry, order) => {
				await vm.sleep(orderLatencyMs);
				const outcome = this.#execute(entry.id, order, vm.name);
				await vm.sleep(orderLatencyMs);
				return {outcome};
			},
		};
	}

	#execute(id: string, {fence, version, acceptedOrders}: gateway.ports.WeightLoadOrder, vm: string): gateway.ports.OrderOutcome {
		const engine = this.engines.get(id)!;
		if (fence < engine.highestFence) {
			return ports.OrderOutcome.Fenced;
		}

		engine.highestFence = fence;
		if (engine.busyUntil > this.time.now || (acceptedOrders !== undefined && acceptedOrders !== engine.accepted)) {
			return ports.OrderOutcome.Conflict;
		}

		if (version === engine.version) {
			return ports.OrderOutcome.AlreadyDone;
		}

		this.carriedOut.push({
			at: this.time.now, engine: id, vm, fence, version,
		});
		engine.accepted += 1;
		engine.busyUntil = this.time.now + loadMs;
		this.time.schedule(loadMs, () => {
			engine.version = version;
			this.#register(id);
		});
		return ports.OrderOutcome.Accepted;
	}

	#writeConfig(): void {
		this.#write('op/config', {
			version: this.configVersion, routes: [], accounts: [], cacheStores: [], pools: [{
				name: 'llm', healthPath: '/', connectionLimit: 1, engine: {models: [model]},
			}],
		});
	}

	#writeTarget(): void {
		this.#write(`op/version/${model}`, {model, version: this.weightVersion});
	}

	#register(id: string): void {
		const {bornAt, version} = this.engines.get(id)!;
		this.#write(`servers/${id}`, {
			id, bornAt, pool: 'llm', address: id, dataCentre: 'a', slots: 1, state: core.fleet.EndpointState.Ready, version,
		});
	}

	/** Writes a value; while the store is away, its writer tries again. */
	#write(key: string, value: unknown): void {
		if (this.store.isAway) {
			this.time.schedule(leaseTickMs, () => {
				this.#write(key, value);
			});
			return;
		}

		this.store.write(key, Buffer.from(JSON.stringify(value)));
	}
}

class SimulatedDecoder implements gateway.ports.StoreDecoder {
	readonly prefixes: gateway.ports.StorePrefixes = {operator: 'op/', endpoints: 'servers/'};

	decode(entry: {readonly key: string; readonly value: Uint8Array}): gateway.ports.DecodedStoreEntry {
		const json = JSON.parse(Buffer.from(entry.value).toString()) as never;
		if (entry.key === 'op/config') {
			return {type: ports.StoreEntryType.Config, config: json};
		}

		if (entry.key.startsWith('op/version/')) {
			return {type: ports.StoreEntryType.WeightTarget, ...(json as {readonly model: string; readonly version: number})};
		}

		if (!entry.key.startsWith(this.prefixes.endpoints)) {
			return {type: ports.StoreEntryType.Other};
		}

		const {version, ...endpoint} = json as {readonly version: number} & Omit<core.fleet.EndpointEntry, 'weights'>;
		return {type: ports.StoreEntryType.Endpoint, entry: {...endpoint, weights: new Map([[model, version]])}};
	}

	endpointIdOf(key: string): string | undefined {
		return key.startsWith('servers/') ? key.slice('servers/'.length) : undefined;
	}
}
