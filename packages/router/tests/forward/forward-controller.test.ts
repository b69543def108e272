import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as standIns from '@bluebellmast/stand-ins';
import * as memoryPeers from '../controllers/fakes/memory-peers.js';
import * as router from '@bluebellmast/router';

const {expect} = chai;

const account = {
	id: 'club', keyHashes: [], share: 1, limits: {requestsPerSecond: 1, burst: 1, tokensPerSecond: 1}, allowed: [],
};
const kind = {
	id: 'booking', weight: 1, priority: 1, deadlineMs: 1000, repeatable: false,
};
const manifest: core.model.Manifest = {
	generation: 1,
	models: [],
	adapters: [],
	accounts: [account],
	kinds: [kind],
	services: [{
		id: 'boekhuis', type: core.model.ServiceType.Plain, models: [], rules: [], defaultKind: 'booking', maxConcurrentLoads: 1,
	}],
	endpoints: [],
	recalled: [],
};

describe('ForwardController', () => {
	let links = new memoryPeers.MemoryLinks();
	let executedKeys: string[] = [];

	/** Responds to each request and records its idempotency key. */
	const executingFilter: router.filters.Filter = {
		async handle(ctx) {
			executedKeys.push(ctx.headers.idempotencyKey!);
			ctx.response.sendBuffered({status: 200, contentType: 'text/plain', body: new TextEncoder().encode(`for ${ctx.account!.id}`)});
		},
	};

	const refusingFilter: router.filters.Filter = {
		async handle(ctx) {
			ctx.response.sendRefusal(core.request.createRefusal(core.model.ErrorCode.Overloaded, [], {message: 'full', retryAfterMs: 10}));
		},
	};

	/** Starts to respond when `respond` is called. */
	function createSlowFilter(): {readonly filter: router.filters.Filter; respond: () => void} {
		let respond = (): void => undefined;
		const isDue = new Promise<void>(resolve => {
			respond = resolve;
		});
		const filter: router.filters.Filter = {
			async handle(ctx, next) {
				await isDue;
				await executingFilter.handle(ctx, next);
			},
		};
		return {filter, respond};
	}

	afterEach(() => {
		links = new memoryPeers.MemoryLinks();
		executedKeys = [];
	});

	async function createController(
		vm: string,
		filter: router.filters.Filter,
	): Promise<router.forward.ForwardController> {
		const controller = new router.forward.ForwardController({
			incarnation: `${vm}-1`,
			peers: links.create(vm),
			clock: {now: () => 0},
			requests: new router.http.ActiveRequests(),
			manifest: () => manifest,
			filters: [filter],
		});
		await controller.start();
		return controller;
	}

	async function forward(sender: router.forward.ForwardController, incarnation: string, deadlineAt = 1000) {
		const call = {
			type: router.filters.CallType.Service as const,
			service: 'boekhuis',
			method: 'POST',
			path: '/bookings',
			contentType: 'application/json',
			body: new TextEncoder().encode('{}'),
		};
		const ctx = {
			id: 'r', arrivedAt: 0, deadlineAt, headers: {idempotencyKey: 'k'}, call, account, kind, manifest,
		} as unknown as router.filters.RequestContext;
		return sender.forward(ctx, call, {vm: 'b', incarnation});
	}

	it('returns the issuer\'s complete response for the caller\'s account', async () => {
		const a = await createController('a', refusingFilter);
		await createController('b', executingFilter);
		const result = await forward(a, 'b-1');
		expect(new TextDecoder().decode(result.unsafeCoerce().body)).to.equal('for club');
		expect(executedKeys).to.deep.equal(['k']);
	});

	it('returns the issuer\'s refusal with its execution state', async () => {
		const a = await createController('a', executingFilter);
		await createController('b', refusingFilter);
		const result = await forward(a, 'b-1');
		expect(result.extract()).to.deep.include({code: 'overloaded', execution: 'not_run', retryAfterMs: 10});
	});

	it('executes nothing and reports an unknown outcome when the issuer has another incarnation', async () => {
		const a = await createController('a', executingFilter);
		await createController('b', executingFilter);
		const result = await forward(a, 'b-0');
		expect(result.extract()).to.include({code: 'outcome_unknown', execution: 'unknown'});
		expect(executedKeys).to.deep.equal([]);
	});

	it('reports the request as not executed when the issuer cannot be reached', async () => {
		const a = await createController('a', executingFilter);
		const result = await forward(a, 'b-1');
		expect(result.extract()).to.include({code: 'no_endpoint', execution: 'not_run'});
	});

	// Guards against a lost response: a booking was executed, and its response was discarded because the link was silent when it was complete.
	it('returns the response when the link was silent for a moment while the request was executed', async () => {
		const {filter, respond} = createSlowFilter();
		const a = await createController('a', refusingFilter);
		await createController('b', filter);
		const pending = forward(a, 'b-1', 1000);
		links.disconnected.add('a');
		respond();
		await standIns.util.sleep(50);
		expect(executedKeys).to.deep.equal(['k']);
		links.disconnected.clear();
		const result = await pending;
		expect(new TextDecoder().decode(result.unsafeCoerce().body)).to.equal('for club');
	});

	// Guards against needless refusals: only the issuer can execute the request, and its link was silent or not open yet.
	it('sends the request when the link is silent for a moment', async () => {
		const a = await createController('a', refusingFilter);
		await createController('b', executingFilter);
		links.disconnected.add('b');
		const pending = forward(a, 'b-1', 1000);
		await standIns.util.sleep(50);
		links.disconnected.clear();
		const result = await pending;
		expect(new TextDecoder().decode(result.unsafeCoerce().body)).to.equal('for club');
		expect(executedKeys).to.deep.equal(['k']);
	});

	it('does not send a request that was refused', async () => {
		const a = await createController('a', refusingFilter);
		await createController('b', executingFilter);
		links.disconnected.add('b');
		const result = await forward(a, 'b-1', 100);
		expect(result.extract()).to.include({code: 'no_endpoint', execution: 'not_run'});
		links.disconnected.clear();
		await standIns.util.sleep(300);
		expect(executedKeys).to.deep.equal([]);
	});

	it('stops sending a response that the other router no longer awaits', async () => {
		const {filter, respond} = createSlowFilter();
		const a = await createController('a', refusingFilter);
		const sent: string[] = [];
		await createController('b', filter);
		const pending = forward(a, 'b-1', 10);
		links.disconnected.add('a');
		links.shouldDrop = to => sent.push(to) > 0;
		respond();
		const result = await pending;
		expect(result.extract()).to.include({code: 'outcome_unknown', execution: 'unknown'});
		await standIns.util.sleep(300);
		links.disconnected.clear();
		await standIns.util.sleep(200);
		expect(sent).to.deep.equal([]);
	});

	it('reports an unknown outcome when the issuer executed the request and its response is lost', async () => {
		const a = await createController('a', refusingFilter);
		links.shouldDrop = to => to === 'a';
		await createController('b', executingFilter);
		const result = await forward(a, 'b-1', 10);
		expect(result.extract()).to.include({code: 'outcome_unknown', execution: 'unknown'});
		expect(executedKeys).to.deep.equal(['k']);
	});
});
