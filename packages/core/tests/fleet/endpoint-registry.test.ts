import * as chai from 'chai';
import * as support from '../support/fleet.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;

describe('EndpointRegistry', () => {
	function idsOf(registry: core.fleet.EndpointRegistry): string[] {
		return registry.listReady('llm').map(entry => entry.id);
	}

	it('drops an endpoint at once when its entry is removed while the key-value store is available', () => {
		const registry = new core.fleet.EndpointRegistry();
		registry.put(support.createEntry('a'), 0);
		registry.remove('a', false, 0);
		expect(idsOf(registry)).to.deep.equal([]);
	});

	it('knows for a minute that a pool had an endpoint', () => {
		const registry = new core.fleet.EndpointRegistry();
		expect(registry.hasListed('llm')).to.equal(false);
		registry.put(support.createEntry('a'), 0);
		expect(registry.hasListed('llm')).to.equal(true);
		registry.remove('a', false, 1000);
		registry.removeExpired(61_000);
		expect(registry.hasListed('llm')).to.equal(true);
		registry.removeExpired(61_001);
		expect(registry.hasListed('llm')).to.equal(false);
	});

	it('keeps an endpoint whose entry may have expired for two seconds from the first listing without it', () => {
		const registry = new core.fleet.EndpointRegistry();
		registry.replaceAll([support.createEntry('a'), support.createEntry('b')], false, 0);
		registry.replaceAll([support.createEntry('b')], true, 1000);
		registry.replaceAll([support.createEntry('b')], true, 2500);
		registry.removeExpired(2999);
		expect(idsOf(registry)).to.have.members(['a', 'b']);
		registry.removeExpired(3000);
		expect(idsOf(registry)).to.deep.equal(['b']);
	});

	it('keeps an endpoint whose entry returns within the grace period', () => {
		const registry = new core.fleet.EndpointRegistry();
		registry.put(support.createEntry('a'), 0);
		registry.remove('a', true, 0);
		registry.put(support.createEntry('a'), 0);
		registry.removeExpired(10_000);
		expect(idsOf(registry)).to.deep.equal(['a']);
	});

	it('does not list draining endpoints as ready, and drops them at once when their entry is removed', () => {
		const registry = new core.fleet.EndpointRegistry();
		registry.put(support.createEntry('a', {state: core.fleet.EndpointState.Draining}), 0);
		expect(idsOf(registry)).to.deep.equal([]);
		registry.remove('a', true, 0);
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
