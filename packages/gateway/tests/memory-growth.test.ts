import * as chai from 'chai';
import * as collectionSizes from '../../router/tests/support/collection-sizes.js';
import * as simulatedGatewayWeek from './support/simulated-gateway-week.js';

const {expect} = chai;

/** Collections that may grow all week up to the bound that docs/DESIGN.md states for them, by the file that creates them. */
const boundsByFile: Readonly<Record<string, number>> = {
	'core/fleet/part-locations': 10_001,
	'core/placement/home-ranker': 16_384,
	'core/quarantine/part-quarantine': 1025,
	'core/quarantine/recent-times': 16_385,
};

// Guards against memory that grows for as long as a VM runs, by collections whose entries outlive what they describe.
describe('maps and sets of a gateway that leads', () => {
	it('do not grow from the third to the seventh day while endpoints, VMs, versions, models, pools, parts and accounts come and go', async () => {
		const sizes = new collectionSizes.CollectionSizes();
		sizes.install();
		let third: ReadonlyMap<string, number> = new Map();
		let seventh = third;
		try {
			const week = new simulatedGatewayWeek.SimulatedGatewayWeek();
			await week.run(2);
			sizes.takeLargest();
			await week.run(1);
			third = sizes.takeLargest();
			await week.run(3);
			sizes.takeLargest();
			await week.run(1);
			seventh = sizes.takeLargest();
			await week.stop();
		} finally {
			sizes.uninstall();
		}

		const grown = [...seventh].filter(([site, size]) => {
			const bound = boundsByFile[site.replace(/:\d+$/, '')];
			return size > (bound ?? (third.get(site) ?? 0) + 2);
		});
		expect([...third.keys()].map(site => site.replace(/:\d+$/, ''))).to.include.members(['core/fleet/part-locations']);
		expect(grown.map(([site, size]) => `${site}: ${third.get(site) ?? 0}, then ${size}`)).to.deep.equal([]);
	}).timeout(60_000);
});
