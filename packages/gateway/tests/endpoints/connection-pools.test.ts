import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;

// Guards against twice as many connections as an endpoint allows, and resets by it, when its entry leaves the store for a moment.
describe('ConnectionPools', () => {
	it('count the connections of requests in progress at an endpoint whose entry has left the store and returned', () => {
		const pools = new gateway.endpoints.ConnectionPools(() => 0);
		const entry: core.fleet.EndpointEntry = {
			id: 'a', bornAt: 1, pool: 'app', address: '127.0.0.1:9', dataCentre: 'dc-a', slots: 8, state: core.fleet.EndpointState.Ready, weights: new Map(),
		};
		const maxConnections = 2;
		const acquire = (): gateway.endpoints.EndpointConnection | undefined => pools.poolFor(entry).acquire({requiresFresh: false}, maxConnections, 0);
		expect([acquire(), acquire(), acquire()].map(connection => connection !== undefined)).to.deep.equal([true, true, false]);
		pools.retain(new Set());
		expect(acquire() === undefined).to.equal(true);
	});
});
