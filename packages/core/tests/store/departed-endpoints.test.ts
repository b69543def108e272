import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

function createEntry(id: string, bornAt: number): core.fleet.EndpointEntry {
	return {
		id, bornAt, pool: 'p', address: '10.0.0.1:1', dataCentre: 'a', slots: 1, state: core.fleet.EndpointState.Ready, weights: new Map(),
	};
}

describe('DepartedEndpoints', () => {
	const options: core.store.DepartureOptions = {retentionMs: 1000, confirmationMs: 100};
	let departed: core.store.DepartedEndpoints;

	beforeEach(() => {
		departed = new core.store.DepartedEndpoints(options);
		departed.recordDeparture(createEntry('a', 1), 0);
	});

	it('holds the entry of an incarnation that has left, and no other one', () => {
		expect(departed.hold(createEntry('a', 1), 10)).to.equal(true);
		expect(departed.hold(createEntry('a', 2), 10)).to.equal(false);
		expect(departed.hold(createEntry('b', 1), 10)).to.equal(false);
	});

	it('returns a held entry that stays listed, counted from the first return', () => {
		departed.hold(createEntry('a', 1), 10);
		departed.hold(createEntry('a', 1), 90);
		expect(departed.takeConfirmed(109)).to.deep.equal([]);
		expect(departed.takeConfirmed(110).map(({id}) => id)).to.deep.equal(['a']);
		expect(departed.takeConfirmed(500)).to.deep.equal([]);
		expect(departed.hold(createEntry('a', 1), 120)).to.equal(false);
	});

	it('forgets an endpoint whose entry was written or removed', () => {
		departed.hold(createEntry('a', 1), 10);
		departed.release('a');
		expect(departed.takeConfirmed(500)).to.deep.equal([]);
	});

	it('forgets departures after the retention time', () => {
		expect(departed.takeConfirmed(1001)).to.deep.equal([]);
		expect(departed.hold(createEntry('a', 1), 1001)).to.equal(false);
	});
});
