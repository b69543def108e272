import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@bluebellmast/core';

const {endpoints} = core;

function report(incarnation: string, sequence: number, leaving = false): core.endpoints.SequencedReport {
	return {incarnation, sequence, leaving};
}

describe('EndpointTable', () => {
	it('ignores older reports and reports of earlier incarnations', () => {
		const table = new endpoints.EndpointTable();
		chai.expect(table.applyReport('e', report('i1', 5), 100)).to.equal(true);
		chai.expect(table.applyReport('e', report('i1', 4), 120)).to.equal(false);
		chai.expect(table.applyReport('e', report('i2', 1), 130)).to.equal(true);
		chai.expect(table.applyReport('e', report('i1', 9), 140)).to.equal(false);
		chai.expect(table.stateOf('e', 140).incarnation).to.equal('i2');
	});

	it('keeps a leaving notice that was renewed last when there are too many', () => {
		const table = new endpoints.EndpointTable();
		table.applyReport('e', report('i1', 1), 0);
		for (const incarnation of ['i1', 'i2', 'i3', 'i4', 'i1', 'i5']) {
			table.applyLeavingNotice('e', incarnation, 0);
		}

		chai.expect(table.stateOf('e', 0).leaving).to.equal(true);
	});

	it('applies a leaving notice to its incarnation only, and only while it is renewed', () => {
		const table = new endpoints.EndpointTable();
		table.applyReport('e', report('i1', 1), 0);
		table.applyLeavingNotice('e', 'i1', 0);
		const {noticeTtlMs} = endpoints.defaultEndpointTableOptions;
		chai.expect(table.stateOf('e', noticeTtlMs).leaving).to.equal(true);
		chai.expect(table.stateOf('e', noticeTtlMs + 1).leaving).to.equal(false);
		table.applyLeavingNotice('e', 'i1', 6000);
		table.applyReport('e', report('i2', 1), 6000);
		chai.expect(table.stateOf('e', 6000).leaving).to.equal(false);
		table.applyReport('e', report('i2', 2, true), 6001);
		chai.expect(table.stateOf('e', 60_000).leaving).to.equal(true);
	});

	it('applies the draining list with the largest fencing token', () => {
		const table = new endpoints.EndpointTable();
		table.applyDrainingList(7, ['e'], 0);
		table.applyDrainingList(6, [], 10);
		chai.expect(table.stateOf('e', 20).draining).to.equal(true);
		table.applyDrainingList(8, [], 30);
		chai.expect(table.stateOf('e', 40).draining).to.equal(false);
	});

	it('is unreachable without a report, after consecutive failed reads until one succeeds, and with an outdated report', () => {
		const table = new endpoints.EndpointTable();
		chai.expect(table.stateOf('e', 0).reachable).to.equal(false);
		table.applyReport('e', report('i1', 1), 0);
		for (let i = 0; i < endpoints.defaultEndpointTableOptions.maxConsecutiveFailures; i++) {
			chai.expect(table.stateOf('e', 10).reachable).to.equal(true);
			table.recordRead('e', false);
		}

		chai.expect(table.stateOf('e', 10).reachable).to.equal(false);
		table.recordRead('e', true);
		chai.expect(table.stateOf('e', 10).reachable).to.equal(true);
		chai.expect(table.stateOf('e', endpoints.defaultEndpointTableOptions.maxReportAgeMs + 1).reachable).to.equal(false);
	});
});

describe('chooseWatchedEndpoints', () => {
	it('assigns each endpoint to all routers of a small fleet and to `readersPerEndpoint` routers of a large one', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 40}), fc.integer({min: 1, max: 20}), (routers, count) => {
			const members = Array.from({length: routers}, (_, i) => `vm-${i}`);
			const names = Array.from({length: count}, (_, i) => `e-${i}`);
			const watched = members.map(vm => endpoints.chooseWatchedEndpoints(vm, members, names));
			const expected = routers <= 12 ? routers : 2;
			for (const name of names) {
				chai.expect(watched.filter(list => list.includes(name))).to.have.length(expected);
			}
		}), {seed: 41, numRuns: 100});
	});
});
