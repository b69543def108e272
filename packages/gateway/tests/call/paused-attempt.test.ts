import * as events from 'node:events';
import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as clocks from '../support/manual-clock.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {LogEvent: logEvents} = core.log;
const pool: core.routing.Pool = {name: 'app', healthPath: '/health', connectionLimit: 10};

function createEntry(id: string): core.fleet.EndpointEntry {
	return {
		id, bornAt: 1, pool: 'app', address: '127.0.0.1:9', dataCentre: 'dc-a', slots: 8, state: core.fleet.EndpointState.Ready, weights: new Map(),
	};
}

describe('requests whose connection is not open when their endpoint asks for a pause', () => {
	it('are sent to another endpoint', async () => {
		const clock = new clocks.ManualClock();
		const fleet = new gateway.placement.FleetState();
		const sent: string[] = [];
		const faults: unknown[] = [];
		const log: gateway.util.EventLog = {
			write(event, fields) {
				if (event === logEvents.RequestSent) {
					sent.push((fields as core.log.LogFieldsByEvent[core.log.LogEvent.RequestSent]).endpoint);
				} else if (event === logEvents.AttemptFailed) {
					faults.push((fields as core.log.LogFieldsByEvent[core.log.LogEvent.AttemptFailed]).fault);
				}
			},
		};
		const pauses = new gateway.placement.EndpointPauses({clock, log, random: () => 0});
		for (const id of ['a', 'b']) {
			fleet.registry.put(createEntry(id), 0);
		}

		// Connections that are never established.
		const connections = {
			poolFor: () => ({acquire: () => ({dispatch: () => undefined, refusals: new gateway.endpoints.RefusalHistory()}), release: () => undefined, discard: () => undefined}),
		};
		const dispatcher = new gateway.call.RequestDispatcher({
			fleet,
			pauses,
			interruptions: {record: () => undefined},
			quarantine: {match: () => undefined, recordCompletion: () => undefined, recordAlive: () => undefined},
			leavingRecorder: new gateway.placement.LeavingRecorder({
				fleet, clock, log, onFirstNotice: () => undefined,
			}),
			clock,
			log,
			connections: connections as unknown as gateway.endpoints.ConnectionPools,
			placer: new gateway.placement.EndpointPlacer(fleet, pauses, {
				dataCentre: 'dc-a', maxOutdatedWeightsMs: 1000, costs: core.fleet.defaultPlacementCosts, admission: core.fleet.defaultAdmissionLimits,
			}),
			protocol: {encodeRequestHead: () => []} as unknown as gateway.ports.EndpointProtocol,
			retryWindows: new gateway.call.RetryWindows({ratio: 0.2, slack: 54, windowMs: 10_000}),
			queue: new gateway.call.RequestQueue(() => clock.now),
			recordCacheObservations: () => undefined,
			authorizer: {maySend: () => true},
			random: () => 0,
		});
		const res = new events.EventEmitter();
		const request = {
			req: {socket: {destroyed: false}},
			res,
			head: {requestId: 'r-1', method: 'POST', target: '/book/1'},
			arrivedAt: 0,
			table: {findPool: () => pool, config: {version: 1}},
			route: {
				name: 'book', kind: core.routing.RouteKind.Unsafe, pools: [{pool: 'app', weight: 1}], timeoutMs: 5000, targetLatencyMs: 100, priority: 0, maxAttempts: 1,
			},
		};
		const ended = dispatcher.dispatch(request as unknown as gateway.call.RoutedRequest);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		expect(sent).to.have.lengthOf(1);
		dispatcher.abortPausedAttempts();
		expect(faults).to.deep.equal([]);
		pauses.record(createEntry(sent[0]!), 1000);
		dispatcher.abortPausedAttempts();
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		expect(faults).to.deep.equal(['endpoint_paused']);
		expect([...sent].sort()).to.deep.equal(['a', 'b']);
		res.emit('close');
		const refusal = await ended;
		expect(refusal?.code).to.equal(gateway.call.RefusalCode.CallerDisconnected);
	});
});
