import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@bluebellmast/core';

const {model, orders} = core;

function createManifest(versions: readonly string[], recalled: readonly string[], engineCount: number, maxConcurrentLoads = 2): core.model.Manifest {
	return {
		generation: 1,
		models: [{
			id: 'm', service: 's', versions, defaultKind: 'k', supportsForcedPrefix: true,
		}],
		adapters: [{id: 'a', model: 'm', versions: ['1']}],
		accounts: [],
		kinds: [],
		services: [{
			id: 's', type: model.ServiceType.Engine, models: ['m'], rules: [], defaultKind: 'k', maxConcurrentLoads,
		}],
		endpoints: Array.from({length: engineCount}, (_, i) => ({
			id: `e${i}`, service: 's', host: '10.0.0.1', port: i, dataCentre: 'dc', checksFencing: false,
			role: model.EngineRole.Mixed, capacity: 4, leaving: false,
		})),
		recalled,
	};
}

/** Engine that carries out every order without checking its fencing token. */
class FakeEngine {
	role = model.EngineRole.Mixed;
	readonly weights = new Set<string>();
	readonly loading = new Map<string, number>();
	running = 0;
	drainingSince: number | undefined;

	apply(planned: core.orders.PlannedOrder, loadTicks: number): void {
		if (planned.action === orders.OrderAction.Load && !this.weights.has(planned.weights!)) {
			this.loading.set(planned.weights!, loadTicks);
		}

		if (planned.action === orders.OrderAction.Unload) {
			this.weights.delete(planned.weights!);
			this.loading.delete(planned.weights!);
		}
	}

	tick(): void {
		for (const [key, left] of this.loading) {
			this.loading.set(key, left - 1);
			if (left <= 1) {
				this.loading.delete(key);
				this.weights.add(key);
			}
		}
	}

	state(): core.orders.EngineState {
		return {
			role: this.role, weights: [...this.weights], loading: [...this.loading.keys()], running: this.running,
			...(this.drainingSince !== undefined && {drainingSince: this.drainingSince}),
		};
	}
}

class FakePool {
	readonly engines: Map<string, FakeEngine>;
	inFlight: core.orders.OrderInFlight[] = [];
	now = 0;
	peakLoads = 0;

	constructor(count: number, weights: readonly string[]) {
		this.engines = new Map(Array.from({length: count}, (_, i) => [`e${i}`, new FakeEngine()]));
		for (const engine of this.engines.values()) {
			for (const key of weights) {
				engine.weights.add(key);
			}
		}
	}

	/** Plans once and delivers each order or loses it, as `outcomeOf` decides by its index. Returns the plan. */
	round(manifest: core.model.Manifest, outcomeOf: (index: number) => 'done' | 'lost', loadTicks = 2): core.orders.Plan {
		this.now += 500;
		const states = new Map([...this.engines].map(([id, engine]) => [id, engine.state()]));
		const plan = orders.planOrders({manifest, engines: states, inFlight: this.inFlight}, this.now);
		this.inFlight = this.inFlight.filter(sent => this.now - sent.sentAt < 1000);
		for (const [id, engine] of this.engines) {
			engine.drainingSince = plan.draining.includes(id) ? engine.drainingSince ?? this.now : undefined;
			engine.running = plan.draining.includes(id) ? 0 : 1;
		}

		for (const [index, planned] of plan.orders.entries()) {
			this.inFlight.push({...planned, sentAt: this.now});
			if (outcomeOf(index) === 'done') {
				this.engines.get(planned.endpoint)!.apply(planned, loadTicks);
			}
		}

		this.peakLoads = Math.max(this.peakLoads, [...this.engines.values()].reduce((sum, engine) => sum + engine.loading.size, 0));
		for (const engine of this.engines.values()) {
			engine.tick();
		}

		return plan;
	}

	allEnginesHold(keys: readonly string[]): boolean {
		return [...this.engines.values()].every(engine => [...engine.weights].sort().join(' ') === [...keys].sort().join(' '));
	}
}

const alwaysDelivered = () => 'done' as const;

describe('planOrders', () => {
	it('rolls out new weights within the load limit while at most one engine drains', () => {
		const pool = new FakePool(8, ['m@1', 'm@1+a@1']);
		const manifest = createManifest(['2'], [], 8);
		let rounds = 0;
		while (!pool.allEnginesHold(['m@2', 'm@2+a@1'])) {
			const plan = pool.round(manifest, alwaysDelivered);
			chai.expect(plan.draining.length).to.be.at.most(1);
			chai.expect(rounds += 1).to.be.lessThan(200);
		}

		chai.expect(pool.peakLoads).to.be.at.most(2);
		chai.expect(pool.round(manifest, alwaysDelivered)).to.deep.equal({orders: [], draining: []});
	});

	it('unloads recalled weights from all engines in one plan, including weights that are still loading', () => {
		const pool = new FakePool(4, ['m@1', 'm@2']);
		pool.engines.get('e0')!.loading.set('m@2+a@1', 100);
		const plan = pool.round(createManifest(['2', '1'], ['model:m@2'], 4), alwaysDelivered);
		const recalls = plan.orders.filter(planned => planned.reason === orders.OrderReason.Recalled);
		chai.expect(recalls.map(({endpoint, weights}) => `${endpoint} ${weights!}`)).to.deep.equal([
			'e0 m@2', 'e0 m@2+a@1', 'e1 m@2', 'e2 m@2', 'e3 m@2',
		]);
	});

	it('drains neither the only serving engine nor engines without weights', () => {
		const one = new FakePool(1, ['m@1', 'm@1+a@1']);
		const plan = one.round(createManifest(['2', '1'], [], 1), alwaysDelivered);
		chai.expect(plan.draining).to.deep.equal([]);
		chai.expect(plan.orders.map(planned => planned.weights)).to.deep.equal(['m@2', 'm@2+a@1']);
		const empty = new FakePool(5, []).round(createManifest(['2'], [], 5, 3), alwaysDelivered);
		chai.expect(empty.draining).to.deep.equal([]);
		chai.expect(empty.orders).to.have.length(3);
	});

	it('plans orders for a draining engine only after its requests end or the drain timeout passes', () => {
		const manifest = createManifest(['2', '1'], [], 3);
		const engineState = {role: model.EngineRole.Mixed, weights: ['m@1', 'm@1+a@1'], loading: []};
		const engines = new Map([
			['e0', {...engineState, running: 1, drainingSince: 1000}],
			['e1', {...engineState, running: 0}],
			['e2', {...engineState, running: 0}],
		]);
		chai.expect(orders.planOrders({manifest, engines, inFlight: []}, 2000).orders).to.deep.equal([]);
		const {drainTimeoutMs} = orders.defaultPlanLimits;
		chai.expect(orders.planOrders({manifest, engines, inFlight: []}, 1000 + drainTimeoutMs).orders).to.have.length(2);
	});

	it('reaches the desired state despite lost orders, leader changes and late orders of a paused leader', () => {
		const step = fc.record({
			outcomes: fc.array(fc.constantFrom<'done' | 'lost'>('done', 'lost'), {minLength: 1, maxLength: 5}),
			newLeader: fc.boolean(),
			late: fc.option(fc.record({engine: fc.integer({min: 0, max: 4}), weights: fc.constantFrom('m@1', 'm@2', 'm@2+a@1')})),
			loadTicks: fc.integer({min: 1, max: 4}),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 25}), steps => {
			const pool = new FakePool(5, ['m@1', 'm@1+a@1']);
			const before = createManifest(['2', '1'], [], 5);
			const after = createManifest(['2', '1'], ['model:m@2'], 5);
			for (const [index, {outcomes, newLeader, late, loadTicks}] of steps.entries()) {
				if (newLeader) {
					pool.inFlight = [];
				}

				if (late !== null) {
					pool.engines.get(`e${late.engine}`)!.apply({
						endpoint: '', action: orders.OrderAction.Load, reason: orders.OrderReason.Missing, weights: late.weights,
					}, loadTicks);
				}

				pool.round(index < 12 ? before : after, order => outcomes[order % outcomes.length]!, loadTicks);
			}

			let rounds = 0;
			const hasRecalled = () => [...pool.engines.values()].some(engine => [...engine.weights, ...engine.loading.keys()].some(key => key.startsWith('m@2')));
			while (hasRecalled()) {
				pool.round(after, alwaysDelivered);
				chai.expect(rounds += 1).to.be.at.most(4);
			}

			while (!pool.allEnginesHold(['m@1', 'm@1+a@1'])) {
				pool.round(after, alwaysDelivered);
				chai.expect(rounds += 1).to.be.at.most(60);
			}
		}), {seed: 32, numRuns: 200});
	});
});
