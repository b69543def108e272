import * as core from '@bluebellmast/core';
import * as clocks from './manual-clock.js';
import * as fake from './fake-connections.js';
import * as gateway from '@bluebellmast/gateway';

const {LogEvent: logEvents} = core.log;
const pool: core.routing.Pool = {name: 'app', healthPath: '/health', connectionLimit: 1000};
const defaultStreamCount = 60;
const vmCount = 7;
/** The platform's retry budget for a service, and the part of it that a VM uses. */
const budget = {ratio: 0.2, slack: 54, windowMs: 10_000};
const usableShare = 0.8;

/** Returns the number of retries that the budget allows to the VM. */
export function countAllowedRetries(streamCount: number): number {
	return Math.floor(usableShare * ((budget.ratio * streamCount * 2 / 3) + (budget.slack / vmCount)));
}

/** Number of retries that the budget allows to a VM with the default number of streams. */
export const maxRetries = countAllowedRetries(defaultStreamCount);

class CountingPlacer extends gateway.placement.EndpointPlacer {
	searchCount = 0;

	override place(...args: Parameters<gateway.placement.EndpointPlacer['place']>): gateway.placement.Placement | undefined {
		this.searchCount += 1;
		return super.place(...args);
	}
}

/** Many resumable streams of one VM, all begun at the first of two endpoints. */
export class LoadedVm {
	readonly connections = new fake.FakeConnections();
	readonly responses: fake.FakeResponse[] = [];
	readonly ends: Array<Readonly<Record<string, unknown>>> = [];
	readonly ended: Array<Promise<gateway.call.Refusal | undefined>> = [];
	readonly dispatcher: gateway.call.RequestDispatcher;
	/** Endpoints of the interruptions that were recorded. */
	readonly interruptedAt: string[] = [];
	/** When these interrupted a request. */
	readonly interruptionTimes: number[] = [];
	/** The request that was authorized last. */
	lastAuthorized: gateway.call.RoutedRequest | undefined;
	readonly clock = new clocks.ManualClock();
	readonly fleet = new gateway.placement.FleetState();
	readonly pauses: gateway.placement.EndpointPauses;
	readonly placer: CountingPlacer;
	/** Log lines in order. */
	readonly lines: Array<{readonly event: core.log.LogEvent; readonly fields: Readonly<Record<string, unknown>>}> = [];

	constructor(private readonly streamCount = defaultStreamCount) {
		const {clock, fleet} = this;
		const log: gateway.util.EventLog = {
			write: (event, fields) => {
				this.lines.push({event, fields});
				if (event === logEvents.AttemptFailed) {
					this.ends.push({...fields});
				}
			},
		};
		fleet.vmCount = vmCount;
		const pauses = new gateway.placement.EndpointPauses({clock, log, random: () => 0});
		this.pauses = pauses;
		this.placer = new CountingPlacer(fleet, pauses, {
			dataCentre: 'dc-a', maxOutdatedWeightsMs: 1000, costs: core.fleet.defaultPlacementCosts, admission: core.fleet.defaultAdmissionLimits,
		});
		this.dispatcher = new gateway.call.RequestDispatcher({
			fleet,
			pauses,
			interruptions: {
				record: ({id}, _request, at) => {
					this.interruptedAt.push(id);
					this.interruptionTimes.push(at);
				},
			},
			quarantine: {match: () => undefined, recordCompletion: () => undefined, recordAlive: () => undefined},
			leavingRecorder: new gateway.placement.LeavingRecorder({
				fleet, clock, log, onFirstNotice: () => undefined,
			}),
			clock,
			log,
			connections: this.connections.pools,
			placer: this.placer,
			protocol: this.connections.protocol,
			retryWindows: new gateway.call.RetryWindows(budget),
			queue: new gateway.call.RequestQueue(() => clock.now),
			recordCacheObservations: () => undefined,
			authorizer: {
				maySend: ctx => {
					this.lastAuthorized = ctx;
					return true;
				},
			},
			random: () => 0,
		});
	}

	/** Begins the streams at endpoint `a`, each with one event; endpoint `b` is listed afterwards. */
	async begin(): Promise<void> {
		this.addEndpoint('a');
		for (let number = 0; number < this.streamCount; number++) {
			this.send(`r-${number}`);
		}

		await settle();
		for (const stream of this.connections.streams) {
			stream.begin();
			stream.sendEvent();
		}

		this.addEndpoint('b');
	}

	addEndpoint(id: string): void {
		this.fleet.registry.put({
			id, bornAt: 1, pool: 'app', address: '127.0.0.1:9', dataCentre: 'dc-a', slots: 200, state: core.fleet.EndpointState.Ready, weights: new Map(),
		}, 0);
	}

	removeEndpoint(id: string): void {
		this.fleet.registry.remove(id, undefined, 0);
	}

	/** Sends a request. @returns The response to the caller. */
	send(requestId: string, route: Partial<core.routing.Route> = {}, head: Partial<gateway.ports.RequestHead> = {}): fake.FakeResponse {
		const res = new fake.FakeResponse();
		this.responses.push(res);
		this.ended.push(this.dispatcher.dispatch({
			req: {socket: {destroyed: false}},
			res,
			head: {
				requestId, method: 'POST', target: '/stream/1', ...head,
			},
			arrivedAt: this.clock.now,
			table: {findPool: () => pool, config: {version: 1}},
			route: {
				name: 'stream', kind: core.routing.RouteKind.Streaming, pools: [{pool: 'app', weight: 1}], timeoutMs: 60_000, targetLatencyMs: 500,
				priority: 0, maxAttempts: 2, isResumable: true, gapTargetMs: 300, ...route,
			},
		} as unknown as gateway.call.RoutedRequest));
		return res;
	}

	/** Ends all requests that are in progress. */
	async close(): Promise<void> {
		for (const res of this.responses) {
			res.emit('close');
		}

		await Promise.all(this.ended);
	}
}

/** Waits until what is pending has been handled. */
export async function settle(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}
