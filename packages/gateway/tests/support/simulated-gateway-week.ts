import {Buffer} from 'node:buffer';
import * as core from '@bluebellmast/core';
import type * as kv from '@bluebellmast/kv';
import * as purify from 'purify-ts';
import * as fake from './fake-connections.js';
import * as manualClock from './manual-clock.js';
import * as entries from './weekly-entries.js';
import * as gateway from '@bluebellmast/gateway';

const {controllers, ports} = gateway;
const hourMs = 3_600_000;
const stepMs = 600_000;
const tickMs = 100;
const ticksPerStep = 12;
/** Ticks of a step in which one engine is taken for silent. */
const silentTicks = 3;
const fence = 1;
/** Requests of which one is interrupted, and tried again. */
const requestsPerReset = 5;

type EngineState = {
	readonly bornAt: number;
	readonly weights: Map<string, number>;
	accepted: number;
};

/**
 * The controllers and the state of one VM, which leads, in virtual time and without network: endpoints, VMs, versions, models, pools, prompt parts
 * and accounts come and go as {@link entries.describeHour} states.
 */
export class SimulatedGatewayWeek {
	readonly fleet = new gateway.placement.FleetState({drainMs: 1000});
	readonly #clock = new manualClock.ManualClock();
	readonly #config = new core.routing.ConfigState();
	readonly #connections = new fake.FakeConnections();
	readonly #pools = new gateway.endpoints.ConnectionPools(() => this.#clock.now);
	readonly #decoder = new entries.WeeklyDecoder();
	readonly #engines = new Map<string, EngineState>();
	readonly #listed = new Map<string, kv.kv.KvEntry>();
	readonly #ended: Array<Promise<unknown>> = [];
	readonly #listeners: gateway.controllers.PrefixListeners;
	readonly #coordination: gateway.controllers.CoordinationController;
	readonly #endpoints: gateway.controllers.EndpointController;
	readonly #operator: gateway.controllers.OperatorController;
	readonly #quarantine: gateway.controllers.QuarantineController;
	readonly #load: gateway.controllers.LoadController;
	readonly #rollout: gateway.controllers.RolloutController;
	readonly #leaving: gateway.placement.LeavingRecorder;
	readonly #pauses: gateway.placement.EndpointPauses;
	readonly #dispatcher: gateway.call.RequestDispatcher;
	#hour = -1;
	#state = entries.describeHour(0);
	#revision = 0;
	#count = 0;

	constructor() {
		const {fleet} = this;
		const clock = this.#clock;
		const config = this.#config;
		clock.now = hourMs;
		const log: gateway.util.EventLog = {write: () => undefined};
		const pauses = new gateway.placement.EndpointPauses({clock, log, random: () => 0.5});
		this.#pauses = pauses;
		this.#quarantine = new controllers.QuarantineController({
			clock, log, onPendingEvidence: () => undefined, onQuarantined: () => undefined,
		});
		this.#coordination = new controllers.CoordinationController(fleet, clock, log);
		this.#load = new controllers.LoadController({
			vm: 'vm-own', process: 1, fleet, pauses, quarantine: this.#quarantine, coordination: this.#coordination, clock, log, exchange: {send: () => undefined},
			maxSharedVersionAgeMs: 16_000,
		});
		this.#leaving = new gateway.placement.LeavingRecorder({
			fleet, clock, log, onFirstNotice: () => undefined,
		});
		this.#dispatcher = new gateway.call.RequestDispatcher({
			fleet, pauses, clock, log,
			quarantine: this.#quarantine,
			interruptions: {record: () => undefined},
			leavingRecorder: this.#leaving,
			connections: this.#connections.pools,
			protocol: this.#connections.protocol,
			placer: new gateway.placement.EndpointPlacer(fleet, pauses, {
				dataCentre: 'a', maxOutdatedWeightsMs: 8000, costs: core.fleet.defaultPlacementCosts, admission: core.fleet.defaultAdmissionLimits,
			}),
			retryWindows: new gateway.call.RetryWindows({ratio: 0.2, slack: 54, windowMs: 10_000}),
			queue: new gateway.call.RequestQueue(() => clock.now),
			recordCacheObservations: observations => {
				this.#load.publishObservations(observations);
			},
			authorizer: {maySend: () => true},
			random: () => 0,
		});
		const admin = this.#createAdmin();
		this.#endpoints = new controllers.EndpointController({
			decoder: this.#decoder, config, fleet, pauses, connections: this.#pools, dispatcher: this.#dispatcher, admin, clock, log,
		});
		this.#operator = new controllers.OperatorController({
			decoder: this.#decoder, config, fleet, log, unseenVersionAgeMs: 4000, onConfigAccepted: () => undefined,
		});
		this.#rollout = new controllers.RolloutController({
			recentVersions: {has: () => false, tick: async () => undefined},
			vm: 'vm-own', coordination: this.#coordination, fleet, pauses, config, clock, log, admin,
			store: {compareAndSwap: async () => purify.Right({swapped: true, revision: this.#nextRevision()})} as unknown as kv.kv.KeyValueClient,
			lease: {fencing: () => fence, handleFenced: () => undefined} as unknown as gateway.controllers.LeaseController,
			limits: core.rollout.defaultRolloutLimits,
		});
		this.#listeners = new controllers.PrefixListeners([
			{prefix: this.#decoder.prefixes.operator, listener: this.#operator},
			{prefix: this.#decoder.prefixes.endpoints, listener: this.#endpoints},
			{prefix: controllers.coordinationPrefix, listener: this.#coordination},
		]);
	}

	/** Simulates a number of days. */
	async run(days: number): Promise<void> {
		const end = this.#clock.now + (days * 24 * hourMs);
		while (this.#clock.now < end) {
			const startedAt = this.#clock.now;
			await this.#step(); // eslint-disable-line no-await-in-loop -- Steps follow one another.
			this.#clock.now = startedAt + stepMs;
		}
	}

	/** Ends what goes on. */
	async stop(): Promise<void> {
		this.#load.stop();
		await Promise.all(this.#ended);
	}

	async #step(): Promise<void> {
		const hour = Math.floor(this.#clock.now / hourMs) - 1;
		if (hour !== this.#hour) {
			this.#hour = hour;
			this.#changeHour();
		}

		const silent = this.#state.endpoints[2]!.id;
		for (let tick = 0; tick < ticksPerStep; tick++) {
			this.#clock.now += tickMs;
			this.#markSilent(silent, tick);
			this.#endpoints.tick();
			this.#operator.tick();
			this.#coordination.tick();
			this.#load.tick();
			await this.#rollout.tick(); // eslint-disable-line no-await-in-loop -- Ticks follow one another.
			await settle(); // eslint-disable-line no-await-in-loop -- Ticks follow one another.
		}

		this.#receiveDigests();
		for (const account of this.#state.config.accounts ?? []) {
			await this.#runRequests(account); // eslint-disable-line no-await-in-loop -- Requests follow one another.
		}
	}

	/** Takes an engine for unresponsive in the first ticks of a step, so that it leaves the plan and returns. */
	#markSilent(endpoint: string, tick: number): void {
		if (tick < silentTicks) {
			this.fleet.health.recordUnresponsive(endpoint);
		}

		this.fleet.health.recordCheck(endpoint, tick >= silentTicks, this.#clock.now);
	}

	#changeHour(): void {
		const leaving = this.#state.endpoints[0]!;
		this.#leaving.record(leaving);
		this.#state = entries.describeHour(this.#hour);
		const {config, targets, endpoints, vms} = this.#state;
		const {models} = (config.pools[0]!.engine!);
		for (const {id, bornAt} of endpoints.filter(endpoint => endpoint.pool === entries.enginePool)) {
			const known = this.#engines.get(id);
			const engine = known?.bornAt === bornAt ? known : {bornAt, weights: new Map<string, number>(), accepted: 0};
			const kept = models.map((model): [string, number] => [model, engine.weights.get(model) ?? 1]);
			this.#engines.set(id, {...engine, weights: new Map(kept)});
		}

		const values = new Map<string, unknown>([
			['operator/config', config],
			...[...targets].map(([model, version]): [string, unknown] => [`operator/version/${model}`, {model, version}]),
			...endpoints.map((endpoint): [string, unknown] => [
				`endpoints/${endpoint.id}`, {...endpoint, weights: [...this.#engines.get(endpoint.id)?.weights ?? []]},
			]),
			...vms.map((vm): [string, unknown] => [`${controllers.vmKeyPrefix}${vm}`, '127.0.0.1:1']),
		]);
		const {now} = this.#clock;
		const context = {startedAt: 0, changed: {after: now - 1, assumed: now, before: now}};
		for (const key of this.#listed.keys()) {
			if (!values.has(key)) {
				this.#listed.delete(key);
				this.#listeners.onChange({key}, context);
			}
		}

		for (const [key, value] of values) {
			const entry = {key, value: Buffer.from(JSON.stringify(value)), revision: this.#nextRevision()};
			this.#listed.set(key, entry);
			this.#listeners.onChange({key, entry}, context);
		}
	}

	#nextRevision(): number {
		this.#revision += 1;
		return this.#revision;
	}

	#createAdmin(): gateway.ports.EndpointAdmin {
		return {
			checkHealth: async () => ({isAlive: true}),
			setLeavingListener: () => undefined,
			setLimitListener: () => undefined,
			readReport: async ({id}) => {
				const {bornAt, weights, accepted} = this.#engines.get(id)!;
				return purify.Right({
					bornAt, weights, isBusy: false, acceptedOrders: accepted,
				});
			},
			orderWeightLoad: async ({id}, {model, version, acceptedOrders}) => {
				const engine = this.#engines.get(id)!;
				if (acceptedOrders !== engine.accepted) {
					return {outcome: ports.OrderOutcome.Conflict};
				}

				engine.accepted += 1;
				engine.weights.set(model, version);
				return {outcome: ports.OrderOutcome.Accepted};
			},
		};
	}

	/** Applies a digest of each other VM, with new parts, evidence, and a pause. */
	#receiveDigests(): void {
		const engines = this.#state.endpoints.slice(0, 4);
		for (const vm of this.#state.vms) {
			this.#count += 1;
			const part = `m/part-${this.#count}`;
			this.#load.applyDigest({
				vm,
				sequence: this.#count,
				endpoints: engines.map(({id}) => ({
					endpoint: id, active: this.#count % 3, prefillTokens: 100, sinceLastReceivedMs: 10,
				})),
				cacheObservations: [{type: core.fleet.CacheObservationType.Sent, key: part, endpoint: engines[0]!.id}],
				pauses: [{endpoint: engines[3]!.id, bornAt: engines[3]!.bornAt, remainingMs: 1000}],
				leavingEndpoints: [engines[0]!],
				quarantine: {
					crashes: [{
						endpoint: engines[1]!, sharedParts: [part], requestKey: `${part}-own`, hasBegun: true, ageMs: 10,
					}],
					soundParts: [{part: `${part}-sound`, ageMs: 10}],
					survivors: [{endpoint: engines[1]!, openedAgeMs: 1000, ageMs: 5}],
				},
			});
		}

		this.#pauses.record(this.#state.endpoints[3]!, 1000);
		this.#quarantine.recordCompletion([`m/sound-${this.#count}`], this.#clock.now);
	}

	async #runRequests(account: core.routing.ApiAccount): Promise<void> {
		for (const route of this.#config.table!.config.routes) {
			this.#count += 1;
			const model = this.#config.table!.config.pools[0]!.engine!.models[0]!;
			const parts = [`part-${this.#count}`, `own-${this.#count}`].map(id => ({id, tokens: 3000}));
			this.#ended.push(this.#dispatcher.dispatch({
				req: {socket: {destroyed: false}},
				res: new fake.FakeResponse(),
				head: {
					requestId: `r-${this.#count}`, method: 'POST', target: route.prefix,
					...(route.name === 'chat' && {
						prompt: {
							model, promptTokens: 6000, maxOutputTokens: 10, parts,
						},
					}),
				},
				arrivedAt: this.#clock.now,
				table: this.#config.table!,
				route,
				account,
			} as unknown as gateway.call.RoutedRequest));
			await settle(); // eslint-disable-line no-await-in-loop -- Requests follow one another.
			if (this.#count % requestsPerReset === 0) {
				this.#connections.streams.shift()?.reset();
				await settle(); // eslint-disable-line no-await-in-loop -- Requests follow one another.
			}

			this.#endStreams();
			await settle(); // eslint-disable-line no-await-in-loop -- Requests follow one another.
		}
	}

	#endStreams(): void {
		for (const stream of this.#connections.streams.splice(0)) {
			this.#pools.poolFor(this.fleet.registry.get(stream.endpoint)!);
			stream.begin();
			stream.sendEvent();
			stream.end();
		}
	}
}

async function settle(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}
