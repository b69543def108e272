import * as chai from 'chai';
import * as returningStore from '../support/returning-store.js';
import * as simulatedFleet from '../support/simulated-fleet.js';

const {CallType: types} = returningStore;
const writes: ReadonlySet<returningStore.CallType> = new Set([types.Write, types.Grant, types.Revocation]);
/** Calls per second that a small store allows to all VMs together. */
const writesPerSecond = 400;
const readsPerSecond = 2000;
/** Items of a page of the platform's store. */
const itemsPerPage = 500;
const msPerSecond = 1000;
const warmUpMs = 20_000;
const awayMs = 500;
const observedMs = 10_000;

type Rates = {readonly writes: number; readonly reads: number; readonly mostWrites: number; readonly mostReads: number};

function countRates(arrivals: ReadonlyArray<{readonly at: number; readonly type: returningStore.CallType}>, from: number): Rates {
	const counted = arrivals.filter(({at}) => at >= from && at < from + observedMs);
	const mostOf = (isWrite: boolean): number => {
		const times = counted.filter(({type}) => writes.has(type) === isWrite).map(({at}) => at);
		return Math.max(...times.map((time, index) => times.slice(index).filter(other => other < time + msPerSecond).length));
	};

	const writeCount = counted.filter(({type}) => writes.has(type)).length;
	return {
		writes: writeCount, reads: counted.length - writeCount, mostWrites: mostOf(true), mostReads: mostOf(false),
	};
}

describe('store calls in the ten seconds after a return from a copy', () => {
	for (const vmCount of [7, 195]) {
		it(`stay within the rates of a small store with ${vmCount} VMs`, async () => {
			const fleet = new simulatedFleet.SimulatedFleet(vmCount, Math.ceil(vmCount / 3), 28, itemsPerPage);
			await fleet.time.runUntil(warmUpMs);
			fleet.returnFromCopy(5000, awayMs);
			await fleet.time.runUntil(warmUpMs + awayMs + observedMs);
			const rates = countRates(fleet.store.arrivals, warmUpMs + awayMs);
			chai.expect(rates.mostWrites).to.be.at.most(writesPerSecond);
			chai.expect(rates.mostReads).to.be.at.most(readsPerSecond);
			chai.expect(fleet.vms.filter(vm => vm.lease.isLeading)).to.have.lengthOf(1);
		}).timeout(120_000);
	}
});
