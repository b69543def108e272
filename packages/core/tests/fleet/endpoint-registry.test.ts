import * as chai from 'chai';
import * as support from '../support/fleet.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;

describe('EndpointRegistry', () => {
	const lapse: core.store.Lapse = {beginsAt: 500, returnedAt: 1000, endsAt: 3000};

	function idsOf(registry: core.fleet.EndpointRegistry, now = 0): string[] {
		return registry.listReady('llm', now).map(entry => entry.id);
	}

	it('drops an endpoint at once when its entry is removed while the key-value store is available', () => {
		const registry = new core.fleet.EndpointRegistry();
		registry.put(support.createEntry('a'), 0);
		registry.remove('a', undefined, 0);
		expect(idsOf(registry)).to.deep.equal([]);
	});

	it('keeps an endpoint whose entry may have expired until the end of the lapse, whenever the entry was found missing', () => {
		const registry = new core.fleet.EndpointRegistry();
		registry.replaceAll([support.createEntry('a'), support.createEntry('b'), support.createEntry('c')], undefined, 0);
		registry.replaceAll([support.createEntry('b'), support.createEntry('c')], lapse, 1000);
		registry.replaceAll([support.createEntry('b')], lapse, 2500);
		expect(idsOf(registry, 2999)).to.have.members(['a', 'b', 'c']);
		expect(idsOf(registry, 3000)).to.deep.equal(['b']);
		expect(registry.takeDropped(3000)).to.deep.equal([{id: 'a', missingMs: 2000}, {id: 'c', missingMs: 500}]);
	});

	it('keeps it during a second outage and until the end of its lapse', () => {
		const registry = new core.fleet.EndpointRegistry();
		registry.put(support.createEntry('a'), 0);
		registry.remove('a', lapse, 1000);
		registry.applyLapse({...lapse, endsAt: Infinity});
		expect(idsOf(registry, 9000)).to.deep.equal(['a']);
		registry.applyLapse({beginsAt: 500, returnedAt: 2500, endsAt: 4500});
		expect(idsOf(registry, 4499)).to.deep.equal(['a']);
		expect(idsOf(registry, 4500)).to.deep.equal([]);
	});

	it('drops an endpoint at once when its entry was written after the return', () => {
		const registry = new core.fleet.EndpointRegistry();
		registry.put(support.createEntry('a'), 0);
		registry.put(support.createEntry('a'), 1500, 1400);
		registry.remove('a', lapse, 1600);
		expect(idsOf(registry, 1600)).to.deep.equal([]);
	});

	// The first poll after several outages also returns what was written between them.
	it('keeps an endpoint whose entry had expired and was written again at an unknown time', () => {
		const registry = new core.fleet.EndpointRegistry();
		registry.put(support.createEntry('a'), 0);
		registry.remove('a', lapse, 1000);
		registry.put(support.createEntry('a'), 1000, 400);
		registry.remove('a', lapse, 1600);
		expect(idsOf(registry, 1600)).to.deep.equal(['a']);
	});

	it('keeps an endpoint whose entry was written after an earlier return', () => {
		const registry = new core.fleet.EndpointRegistry();
		registry.put(support.createEntry('a'), 0, 500);
		registry.remove('a', lapse, 1600);
		expect(idsOf(registry, 1600)).to.deep.equal(['a']);
	});

	it('keeps an endpoint whose entry returns within the grace period', () => {
		const registry = new core.fleet.EndpointRegistry();
		registry.put(support.createEntry('a'), 0);
		registry.remove('a', lapse, 1000);
		registry.put(support.createEntry('a'), 1000);
		expect(idsOf(registry, 10_000)).to.deep.equal(['a']);
	});

	it('does not list draining endpoints as ready, and drops them at once when their entry is removed', () => {
		const registry = new core.fleet.EndpointRegistry();
		registry.put(support.createEntry('a', {state: core.fleet.EndpointState.Draining}), 0);
		expect(idsOf(registry)).to.deep.equal([]);
		registry.remove('a', lapse, 1000);
		expect(registry.get('a')).to.equal(undefined);
	});

	it('accepts observed weights only for the current incarnation, and drops them with it', () => {
		const registry = new core.fleet.EndpointRegistry();
		registry.put(support.createEntry('a'), 0);
		registry.recordObservedWeights('a', 2, {model: 'm', version: 9}, 0);
		expect(registry.weightVersion('a', 'm')).to.equal(1);
		registry.recordObservedWeights('a', 1, {model: 'm', version: 3}, 0);
		expect(registry.weightVersion('a', 'm')).to.equal(3);
		registry.put(support.createEntry('a', {bornAt: 2}), 0);
		expect(registry.weightVersion('a', 'm')).to.equal(1);
	});

	// An order whose response was lost is carried out after a newer order and restores the older weights.
	describe('when an endpoint reverts to older weights', () => {
		function createObservedRegistry(): core.fleet.EndpointRegistry {
			const registry = new core.fleet.EndpointRegistry();
			registry.put(support.createEntry('a'), 0);
			registry.recordObservedWeights('a', 1, {model: 'm', version: 3}, 1000);
			return registry;
		}

		it('ignores older versions that arrive late', () => {
			const registry = createObservedRegistry();
			registry.recordObservedWeights('a', 1, {model: 'm', version: 2}, 3000);
			registry.put(support.createEntry('a'), 3500);
			expect(registry.weightVersion('a', 'm')).to.equal(3);
		});

		it('accepts a reported older version once the newer one was not observed for three seconds', () => {
			const registry = createObservedRegistry();
			registry.recordObservedWeights('a', 1, {model: 'm', version: 2}, 4001);
			expect(registry.weightVersion('a', 'm')).to.equal(2);
		});

		it('accepts an older version from an entry once the newer one was not observed for three seconds', () => {
			const registry = createObservedRegistry();
			registry.put(support.createEntry('a'), 4001);
			expect(registry.weightVersion('a', 'm')).to.equal(1);
		});

		it('keeps the newer version while later observations confirm it', () => {
			const registry = createObservedRegistry();
			registry.recordObservedWeights('a', 1, {model: 'm', version: 3}, 4000);
			registry.recordObservedWeights('a', 1, {model: 'm', version: 2}, 5000);
			registry.put(support.createEntry('a'), 5000);
			expect(registry.weightVersion('a', 'm')).to.equal(3);
		});
	});
});
