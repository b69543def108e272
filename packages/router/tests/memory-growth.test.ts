import * as chai from 'chai';
import * as collectionSizes from './support/collection-sizes.js';
import * as simulatedWeek from './support/simulated-week.js';

const {expect} = chai;

/** Collections that may grow all week up to the bound that docs/DESIGN.md states for them, by the file that creates them. */
const boundsByFile: Readonly<Record<string, number>> = {
	'core/cache/hot-prefixes': 8192,
	'core/cache/piece-table': 16 * 1024 * 1024 / 288,
	'core/members/incarnation-history': 4200,
	'core/placement/home-ranker': 16_384,
	'router/controllers/endpoint-watch-controller': 1025,
	'router/util/counting-metrics': 4097,
};

// Guards against memory that grows for as long as a router runs, by collections whose entries outlive what they describe.
describe('maps and sets of a router', () => {
	it('do not grow from the third to the seventh day while endpoints, VMs, versions and accounts come and go', async () => {
		const sizes = new collectionSizes.CollectionSizes();
		sizes.install();
		let third: ReadonlyMap<string, number> = new Map();
		let seventh = third;
		try {
			const week = new simulatedWeek.SimulatedWeek();
			await week.start();
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
		expect([...third.keys()].map(site => site.replace(/:\d+$/, ''))).to.include.members(['core/cache/piece-table', 'router/util/counting-metrics']);
		expect(grown.map(([site, size]) => `${site}: ${third.get(site) ?? 0}, then ${size}`)).to.deep.equal([]);
	}).timeout(60_000);
});
