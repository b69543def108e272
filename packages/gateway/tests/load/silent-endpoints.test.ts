import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as fake from '../support/fake-connections.js';
import * as clocks from '../support/manual-clock.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {LogEvent: logEvents} = core.log;
const pool: core.routing.Pool = {name: 'app', healthPath: '/health', connectionLimit: 1000};
const streamCount = 60;
const vmCount = 7;
/** The platform's retry budget for a service, and the part of it that a VM uses. */
const budget = {ratio: 0.2, slack: 54, windowMs: 10_000};
const usableShare = 0.8;
const maxRetries = Math.floor(usableShare * ((budget.ratio * streamCount * 2 / 3) + (budget.slack / vmCount)));

/** Many resumable streams of one VM, all begun at the first of two endpoints. */
class LoadedVm {
	readonly connections = new fake.FakeConnections();
	readonly responses: fake.FakeResponse[] = [];
	readonly ends: Array<Readonly<Record<string, unknown>>> = [];
	readonly ended: Array<Promise<gateway.call.Refusal | undefined>> = [];
	readonly dispatcher: gateway.call.RequestDispatcher;
	readonly #clock = new clocks.ManualClock();
	readonly #fleet = new gateway.placement.FleetState();

	constructor() {
		const clock = this.#clock;
		const fleet = this.#fleet;
		const log: gateway.util.EventLog = {
			write: (event, fields) => {
				if (event === logEvents.AttemptFailed) {
					this.ends.push({...fields});
				}
			},
		};
		fleet.vmCount = vmCount;
		const pauses = new gateway.placement.EndpointPauses({clock, log, random: () => 0});
		this.dispatcher = new gateway.call.RequestDispatcher({
			fleet,
			pauses,
			interruptions: {record: () => undefined},
			quarantine: {match: () => undefined, recordCompletion: () => undefined, recordAlive: () => undefined},
			leavingRecorder: new gateway.placement.LeavingRecorder({
				fleet, clock, log, onFirstNotice: () => undefined,
			}),
			clock,
			log,
			connections: this.connections.pools,
			placer: new gateway.placement.EndpointPlacer(fleet, pauses, {
				dataCentre: 'dc-a', maxOutdatedWeightsMs: 1000, costs: core.fleet.defaultPlacementCosts, admission: core.fleet.defaultAdmissionLimits,
			}),
			protocol: this.connections.protocol,
			retryWindows: new gateway.call.RetryWindows(budget),
			queue: new gateway.call.RequestQueue(() => clock.now),
			recordCacheObservations: () => undefined,
			authorizer: {maySend: () => true},
			random: () => 0,
		});
	}

	/** Begins the streams at endpoint `a`, each with one event; endpoint `b` is listed afterwards. */
	async begin(): Promise<void> {
		this.addEndpoint('a');
		for (let number = 0; number < streamCount; number++) {
			this.#send(`r-${number}`);
		}

		await settle();
		for (const stream of this.connections.streams) {
			stream.begin();
			stream.sendEvent();
		}

		this.addEndpoint('b');
	}

	addEndpoint(id: string): void {
		this.#fleet.registry.put({
			id, bornAt: 1, pool: 'app', address: '127.0.0.1:9', dataCentre: 'dc-a', slots: 200, state: core.fleet.EndpointState.Ready, weights: new Map(),
		}, 0);
	}

	/** Ends all requests that are in progress. */
	async close(): Promise<void> {
		for (const res of this.responses) {
			res.emit('close');
		}

		await Promise.all(this.ended);
	}

	#send(requestId: string): void {
		const res = new fake.FakeResponse();
		this.responses.push(res);
		this.ended.push(this.dispatcher.dispatch({
			req: {socket: {destroyed: false}},
			res,
			head: {requestId, method: 'POST', target: '/stream/1'},
			arrivedAt: 0,
			table: {findPool: () => pool, config: {version: 1}},
			route: {
				name: 'stream', kind: core.routing.RouteKind.Streaming, pools: [{pool: 'app', weight: 1}], timeoutMs: 60_000, targetLatencyMs: 500,
				priority: 0, maxAttempts: 2, isResumable: true, gapTargetMs: 300,
			},
		} as unknown as gateway.call.RoutedRequest));
	}
}

async function settle(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

// Guards against LOST: the streams at an endpoint that fell silent were given up together, and those for which nothing else was left were cut.
describe('many streams at an endpoint that falls silent', () => {
	let vm: LoadedVm;

	beforeEach(async () => {
		vm = new LoadedVm();
		await vm.begin();
		vm.dispatcher.replaceSilentAttempts('a');
		await settle();
	});

	afterEach(async () => {
		await vm.close();
	});

	/** Lets all streams in progress send an event and end. */
	async function complete(): Promise<void> {
		for (const stream of vm.connections.streams.filter(each => !each.isAborted)) {
			stream.sendEvent();
			stream.end();
		}

		await settle();
		await Promise.all(vm.ended);
	}

	async function failReplacements(fail: (stream: fake.FakeStream) => void): Promise<void> {
		for (const stream of vm.connections.listAt('b')) {
			fail(stream);
		}

		await settle();
	}

	function expectComplete(): void {
		expect(vm.responses.map(res => res.destroyed)).to.not.include(true);
		for (const res of vm.responses) {
			expect(res.writableFinished).to.equal(true);
			expect(res.listEventIds()).to.deep.equal([1, 2]);
		}
	}

	it('are sent to another endpoint within the retry budget, and none is given up for it', () => {
		const replacements = vm.connections.listAt('b');
		expect(replacements.length).to.equal(maxRetries);
		expect(replacements.map(stream => stream.resumedAfter)).to.deep.equal(replacements.map(() => 1));
		expect(vm.ends).to.deep.equal([]);
	});

	it('are completed by the silent endpoint when it goes on, and the attempts at others end', async () => {
		for (const stream of vm.connections.listAt('a')) {
			stream.sendEvent();
		}

		expect(vm.connections.listAt('b').every(stream => stream.isAborted)).to.equal(true);
		for (const stream of vm.connections.listAt('a')) {
			stream.end();
		}

		await Promise.all(vm.ended);
		expectComplete();
	});

	it('are continued by the other endpoint once it responds, and only then end at the silent one', async () => {
		for (const stream of vm.connections.listAt('b')) {
			expect(vm.connections.listAt('a').find(({requestId}) => requestId === stream.requestId)!.isAborted).to.equal(false);
			stream.begin();
			expect(vm.connections.listAt('a').find(({requestId}) => requestId === stream.requestId)!.isAborted).to.equal(true);
		}

		await complete();
		expectComplete();
		expect(vm.ends.filter(({fault}) => fault === 'endpoint_silent').length).to.equal(maxRetries);
	});

	const failures: ReadonlyArray<{readonly title: string; readonly fail: (stream: fake.FakeStream) => void}> = [
		{
			title: 'refuses them',
			fail(stream) {
				stream.refuse();
			},
		},
		{
			title: 'breaks their connections',
			fail(stream) {
				stream.reset();
			},
		},
	];

	for (const {title, fail} of failures) {
		it(`are completed by the silent endpoint if the other one ${title}`, async () => {
			await failReplacements(fail);
			await complete();
			expectComplete();
		});
	}

	it('are continued by the other endpoint if the silent one ends', async () => {
		const replaced = new Set(vm.connections.listAt('b').map(({requestId}) => requestId));
		for (const stream of vm.connections.listAt('a').filter(({requestId}) => replaced.has(requestId))) {
			stream.reset();
		}

		await settle();
		for (const stream of vm.connections.listAt('b')) {
			stream.begin();
			stream.sendEvent();
			stream.end();
		}

		await settle();
		for (const stream of vm.connections.listAt('a').filter(({requestId}) => !replaced.has(requestId))) {
			stream.sendEvent();
			stream.end();
		}

		await Promise.all(vm.ended);
		expectComplete();
	});

	it('stay within the retry budget when the next check fails as well', async () => {
		expect(vm.connections.listAt('b').length).to.equal(maxRetries);
		vm.dispatcher.replaceSilentAttempts('a');
		await settle();
		expect(vm.connections.listAt('b').length).to.equal(maxRetries);
	});
});
