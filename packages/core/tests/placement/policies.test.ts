import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const service = 'lantaarn';
const weights = 'lantaarn@7';
const seed = 20_261_203;

type EndpointFlags = {
	readonly reachable: boolean;
	readonly leaving: boolean;
	readonly draining: boolean;
	readonly hasWeights: boolean;
	readonly load: number;
};

function endpoint(index: number): core.model.Endpoint {
	return {
		id: `e${index}`, service, host: '127.0.0.1', port: 1, dataCentre: 'dc1', checksFencing: true,
		role: core.model.EngineRole.Mixed, capacity: 8, leaving: false,
	};
}

function createState(name: core.placement.PlacementPolicyName, flags: readonly EndpointFlags[]): core.placement.PlacementState {
	const state = new core.placement.PlacementState({policy: core.placement.createPlacementPolicy(name, {seed: 1})});
	state.loads.setEndpoints(flags.map((_, index) => endpoint(index)));
	for (const [index, flag] of flags.entries()) {
		const load = state.loads.find(`e${index}`)!;
		state.applyLoadReport(`e${index}`, {
			incarnation: `i${index}`, running: flag.load, queued: 0, queuedTokens: 0,
			weights: [flag.hasWeights ? weights : 'lantaarn@6'], leaving: flag.leaving,
		}, 1000);
		load.reachable = flag.reachable;
		load.draining = flag.draining;
	}

	return state;
}

function request(text: string, excluded: readonly string[] = []): core.placement.PlacementRequest {
	const prompt = core.cache.splitPrompt({account: 'a', model: 'lantaarn'}, [{role: 'user', content: text}], {pieceTokens: 10});
	return {
		requestId: 'r', account: 'a', service, weights, maxTokens: 10,
		pieces: core.cache.bindPrefix(prompt, {model: 'lantaarn', modelVersion: '7'}),
		homeKeys: prompt.homeKeys, promptTokens: prompt.promptTokens, excluded: new Set(excluded),
	};
}

const idle: EndpointFlags = {
	reachable: true, leaving: false, draining: false, hasWeights: true, load: 0,
};

describe('placement policies', () => {
	for (const name of Object.values(core.placement.PlacementPolicyName)) {
		it(`${name} places only on eligible endpoints`, () => {
			const flags = fc.record({
				reachable: fc.boolean(), leaving: fc.boolean(), draining: fc.boolean(), hasWeights: fc.boolean(), load: fc.nat(30),
			});
			fc.assert(fc.property(fc.array(flags, {maxLength: 8}), fc.string({maxLength: 200}), fc.nat(7), (all, text, excluded) => {
				const state = createState(name, all);
				const placed = state.place(request(text, [`e${excluded}`]), 1001);
				const open = all.map((flag, index) => ({flag, id: `e${index}`})).filter(({flag, id}) =>
					flag.reachable && !flag.leaving && !flag.draining && flag.hasWeights && id !== `e${excluded}`);
				expect(placed === undefined).to.equal(open.length === 0);
				expect(placed === undefined || open.some(({id}) => id === placed.endpoint)).to.equal(true);
			}), {seed, numRuns: 200});
		});

		it(`${name} places requests without a prefix`, () => {
			const state = createState(name, [idle, {...idle, load: 7}]);
			expect(state.place(request(''), 1001)).to.not.equal(undefined);
		});
	}

	it('places equal prompts on the same home until it is overloaded', () => {
		const state = createState(core.placement.PlacementPolicyName.BoundedRendezvous, [idle, idle, idle]);
		const text = 'a'.repeat(400);
		const home = state.place(request(text), 1001)!.endpoint;
		expect(state.place(request(text), 1001)!.endpoint).to.equal(home);
		for (let index = 0; index < 20; index++) {
			state.loads.recordDispatch(`x${index}`, home, 0, 1002);
		}

		expect(state.place(request(text), 1003)!.endpoint).to.not.equal(home);
	});

	it('prefers the engine that has the prompt cached, unless it was restarted', () => {
		const state = createState(core.placement.PlacementPolicyName.CostBased, [idle, idle, idle]);
		const longRequest = request('a'.repeat(4000));
		const home = state.place(longRequest, 1001)!.endpoint;
		const other = ['e0', 'e1', 'e2'].find(id => id !== home)!;
		state.recordResponse({
			request: longRequest, endpoint: other, incarnation: `i${other.slice(1)}`, cachedTokens: 0,
		});
		expect(state.place(longRequest, 1002)).to.include({endpoint: other, expectedCachedTokens: 1000});
		state.cacheIndex.observeIncarnation(other, 'next');
		expect(state.place(longRequest, 1003)!.expectedCachedTokens).to.equal(0);
	});

	it('distributes the choices of routers that have the same stale report over all endpoints', () => {
		const flags = Array.from({length: 8}, () => idle);
		const chosen = Array.from({length: 64}, (_, router) => {
			const state = new core.placement.PlacementState({
				policy: core.placement.createPlacementPolicy(core.placement.PlacementPolicyName.LeastLoad, {seed: core.placement.seedOf(`router-${router}`)}),
			});
			state.loads.setEndpoints(flags.map((_, index) => endpoint(index)));
			for (const index of flags.keys()) {
				state.applyLoadReport(`e${index}`, {
					incarnation: 'i', running: 1, queued: 0, queuedTokens: 0, weights: [weights], leaving: false,
				}, 1000);
			}

			return state.place(request(''), 1001)!.endpoint;
		});
		expect(new Set(chosen).size).to.equal(8);
	});

	it('counts a slow endpoint as a smaller one until the measurement has decayed', () => {
		const state = createState(core.placement.PlacementPolicyName.LeastLoad, [idle, idle, idle]);
		for (let index = 0; index < 12; index++) {
			const id = `e${index % 3}`;
			state.loads.recordDispatch(`x${index}`, id, 0, 1000);
			state.loads.recordFirstToken(`x${index}`, 1000);
			state.loads.recordEnd(`x${index}`, 11, id === 'e0' ? 1500 : 1100);
		}

		state.loads.advanceTo(1500);
		expect(state.loads.find('e0')!.slowness).to.be.closeTo(5, 0.5);
		expect(state.loads.find('e1')!.slowness).to.equal(1);
		state.loads.advanceTo(200_000);
		expect(state.loads.find('e0')!.slowness).to.be.closeTo(1, 0.1);
	});

	it('counts the dispatches that another router announces', () => {
		const [state, other] = [0, 1].map(() => createState(core.placement.PlacementPolicyName.CostBased, [idle, idle, idle]));
		const longRequest = request('a'.repeat(4000));
		const placement = state!.place(longRequest, 1001)!;
		other!.applyPeerChange(core.placement.dispatchChange({attemptId: 'x', request: longRequest, placement}), 1002);
		const announced = other!.loads.listEndpoints(service).find(load => load.endpoint === placement.endpoint);
		expect(announced).to.include({load: 1, queuedTokens: longRequest.promptTokens});
		expect(other!.place(longRequest, 1003)).to.include({endpoint: placement.endpoint, expectedCachedTokens: 1000});
	});

	it('adds dispatches to a delayed report and drops those that the next report includes', () => {
		const state = createState(core.placement.PlacementPolicyName.LeastLoad, [idle]);
		const load = state.loads.find('e0')!;
		state.loads.recordDispatch('x', 'e0', 500, 1100);
		expect(load.load).to.equal(1);
		state.loads.applyReport('e0', {
			incarnation: 'i0', running: 4, queued: 0, queuedTokens: 500, weights: [weights], leaving: false,
		}, 1200);
		expect(load.load).to.equal(5);
		state.loads.applyReport('e0', {
			incarnation: 'i0', running: 4, queued: 0, queuedTokens: 500, weights: [weights], leaving: false,
		}, 1500);
		expect(load.load).to.equal(4);
		state.loads.advanceTo(9000);
		state.loads.setRouters(6);
		expect(load.load).to.equal(6);
	});
});
