import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const endpoint = (id: string): core.fleet.PoolEndpoint => ({id, pool: 'p'});
const [first, second, third] = ['e-1', 'e-2', 'e-3'].map(id => endpoint(id)) as [core.fleet.PoolEndpoint, core.fleet.PoolEndpoint, core.fleet.PoolEndpoint];
const ids = ['e-1', 'e-2', 'e-3'];

const silences: ReadonlyArray<{readonly name: string; readonly fail: (reach: core.fleet.PoolReach) => void}> = [
	{
		name: 'owe responses',
		fail(reach: core.fleet.PoolReach) {
			reach.recordSent(first, 'a-1', 1100);
			reach.recordSent(second, 'a-2', 1100);
		},
	},
	{
		name: 'fail',
		fail(reach: core.fleet.PoolReach) {
			reach.recordFailure(first, 1100);
			reach.recordFailure(second, 1100);
		},
	},
	{
		name: 'were given up while they owed responses',
		fail(reach: core.fleet.PoolReach) {
			reach.recordSent(first, 'a-1', 1100);
			reach.recordSent(second, 'a-2', 1100);
			reach.recordEnd(first, 'a-1', 1150);
			reach.recordEnd(second, 'a-2', 1150);
		},
	},
];

function createReach(): core.fleet.PoolReach {
	const created = new core.fleet.PoolReach();
	created.recordReceived(first, 'a-0', 1000);
	return created;
}

describe('PoolReach', () => {
	let reach: core.fleet.PoolReach;

	beforeEach(() => {
		reach = createReach();
	});

	it('takes a pool for reached that owes nothing', () => {
		expect(reach.isReached('p', ids, 60_000)).to.equal(true);
		expect(reach.isReached('other', ids, 60_000)).to.equal(true);
	});

	for (const {name, fail} of silences) {
		it(`takes a pool for unreached when two endpoints ${name} and none sends anything for 300 ms`, () => {
			const silent = createReach();
			fail(silent);
			expect(silent.isReached('p', ids, 1399)).to.equal(true);
			expect(silent.isReached('p', ids, 1400)).to.equal(false);
			expect(silent.takeChanges()).to.deep.equal([{
				pool: 'p', isReached: false, endpoints: 2, silentMs: 300,
			}]);
			expect(silent.listPools()).to.deep.equal(['p']);
		});
	}

	it('takes a pool for reached while another endpoint sends data', () => {
		reach.recordSent(first, 'a-1', 1100);
		reach.recordSent(second, 'a-2', 1100);
		reach.recordReceived(third, 'a-3', 1300);
		expect(reach.isReached('p', ids, 1599)).to.equal(true);
		expect(reach.isReached('p', ids, 1600)).to.equal(false);
	});

	it('needs the silence of two endpoints, or of the only one', () => {
		reach.recordSent(first, 'a-1', 1100);
		expect(reach.isReached('p', ['e-1', 'e-2'], 5000)).to.equal(true);
		expect(reach.isReached('p', ['e-1'], 5000)).to.equal(false);
	});

	it('ignores the silence of endpoints that are not listed', () => {
		reach.recordSent(first, 'a-1', 1100);
		reach.recordSent(second, 'a-2', 1100);
		expect(reach.isReached('p', ['e-2', 'e-3'], 5000)).to.equal(true);
		expect(reach.isReached('p', [], 5000)).to.equal(true);
	});

	it('does not count the time for which the event loop was blocked', () => {
		reach.recordSent(first, 'a-1', 1100);
		reach.recordSent(second, 'a-2', 1100);
		reach.recordBlocked(1000, 2200);
		expect(reach.isReached('p', ids, 2399)).to.equal(true);
		expect(reach.isReached('p', ids, 2400)).to.equal(false);
	});

	it('takes a pool for reached again with the first data, and has its endpoints checked in turn until then', () => {
		reach.recordFailure(first, 1100);
		reach.recordFailure(second, 1100);
		expect(reach.takeDueCheck('p', ['e-1', 'e-2'], 1200)).to.equal(undefined);
		expect(reach.isReached('p', ids, 1500)).to.equal(false);
		expect(reach.takeDueCheck('p', ['e-1', 'e-2'], 1500)).to.equal('e-2');
		expect(reach.takeDueCheck('p', ['e-1', 'e-2'], 1799)).to.equal(undefined);
		expect(reach.takeDueCheck('p', ['e-1', 'e-2'], 1800)).to.equal('e-1');
		reach.recordReceived(second, undefined, 1900);
		expect(reach.isReached('p', ids, 1900)).to.equal(true);
		expect(reach.takeDueCheck('p', ['e-1', 'e-2'], 2500)).to.equal(undefined);
	});

	it('tells of the pools from which data arrived lately', () => {
		expect(reach.listReached(2500)).to.deep.equal([{pool: 'p', ageMs: 1500}]);
		expect(reach.listReached(2501)).to.deep.equal([]);
	});

	it('forgets pools without a listed endpoint', () => {
		reach.retain(new Set(['other']));
		expect(reach.listReached(1000)).to.deep.equal([]);
	});
});
