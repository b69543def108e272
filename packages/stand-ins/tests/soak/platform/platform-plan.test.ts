import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

const {expect} = chai;
const {platform} = standIns.soak;
const durationMs = 120_000;
const quietEndMs = 20_000;
const {ActionType: types} = platform;
const extraTypes = new Set([types.ChangeSettings, types.BreakSettings, types.StoreUnavailableToSome, types.StoreLimitsSome]);

/** Played only by plans that are asked to play silences alone. */
const blockTypes = [types.BlockGateway, types.BlockGateways];
const otherTypes = Object.values(types).filter(type => type !== types.BlockGateway && type !== types.BlockGateways);

describe('createPlatformPlan', () => {
	it('creates the same plan for the same seed and a different one for another seed', () => {
		const plans = [1, 1, 2].map(seed => platform.createPlatformPlan(seed, durationMs));
		expect(plans[0]).to.deep.equal(plans[1]);
		expect(plans[0]).not.to.deep.equal(plans[2]);
	});

	it('plays every type of action within 60 seeds, and leaves the end of each run quiet', () => {
		const types = new Set<string>();
		for (let seed = 1; seed <= 60; seed++) {
			const {actions, sizes} = platform.createPlatformPlan(seed, durationMs);
			expect(actions.length, `seed ${seed}`).to.be.above(8);
			for (const action of actions) {
				types.add(action.type);
				expect(action.atMs + platform.estimateMs(action, sizes), `seed ${seed}`).to.be.at.most(durationMs - quietEndMs);
			}
		}

		expect([...types].sort()).to.deep.equal([...otherTypes].sort());
	});

	it('starts 3 to 12 gateways and 4 to 40 servers', () => {
		for (let seed = 1; seed <= 200; seed++) {
			const {gateways, engines, runners} = platform.createPlatformPlan(seed, durationMs).sizes;
			expect(gateways).to.be.within(3, 12);
			expect((2 * engines) + runners).to.be.within(4, 40);
		}
	});

	it('lets each server fall silent for 0.3 to 2 s and go on for a second or more', () => {
		for (let seed = 1; seed <= 60; seed++) {
			for (const onlySilences of [false, true]) {
				const {actions, sizes} = platform.createPlatformPlan(seed, durationMs, {onlySilences});
				const endByServer = new Map<number, number>();
				for (const action of actions.filter(({type}) => platform.targetByType[type] === platform.ActionTarget.Silence)) {
					const servers = platform.listSilentServers(action, sizes);
					expect(action.durationMs).to.be.within(300, 2000);
					expect(new Set(servers.map(server => Math.min(2, Math.floor(server / sizes.engines)))).size, 'services').to.equal(1);
					for (const server of servers) {
						expect(action.atMs, `seed ${seed}, server ${server}`).to.be.at.least(endByServer.get(server) ?? 0);
						endByServer.set(server, action.atMs + platform.estimateMs(action, sizes));
					}
				}
			}
		}
	});

	it('plays silences beside all other types of actions', () => {
		const types = new Set<string>();
		for (let seed = 1; seed <= 200; seed++) {
			const {actions, sizes} = platform.createPlatformPlan(seed, durationMs);
			const silences = actions.filter(({type}) => platform.targetByType[type] === platform.ActionTarget.Silence);
			for (const action of actions) {
				const endMs = action.atMs + platform.estimateMs(action, sizes);
				if (silences.some(({atMs, durationMs: lengthMs}) => atMs <= endMs && atMs + lengthMs >= action.atMs)) {
					types.add(action.type);
				}
			}
		}

		expect([...types].sort()).to.deep.equal([...otherTypes].sort());
	});

	const {ActionTarget: targets} = platform;
	const silencePlans = [
		{title: 'silences and changes', seed: 5, planned: [targets.Nothing, targets.Silence]},
		{title: 'silences, changes, blocks and stops', seed: 1, planned: [targets.Nothing, targets.Silence, targets.Block, targets.Gateway]},
	];
	for (const {title, seed, planned} of silencePlans) {
		it(`plays only ${title} where it is asked to, with seed ${seed}`, () => {
			const {actions, sizes} = platform.createPlatformPlan(seed, durationMs, {onlySilences: true});
			expect([...new Set(actions.map(({type}) => platform.targetByType[type]))].sort()).to.deep.equal([...planned].sort());
			const gatewayTypes = new Set(actions.map(({type}) => type).filter(type => platform.targetByType[type] === targets.Gateway));
			expect([...gatewayTypes]).to.deep.equal(planned.includes(targets.Gateway) ? [types.StopGateway] : []);
			expect(Math.max(...actions.map(action => action.atMs + platform.estimateMs(action, sizes)))).to.be.at.most(durationMs - 4000);
		});
	}

	it('blocks gateways for 0.2 to 2 s in series, beside silences, changes and planned stops, with half of the seeds', () => {
		const types = new Set<string>();
		let blockedRuns = 0;
		for (let seed = 1; seed <= 60; seed++) {
			const {actions, sizes} = platform.createPlatformPlan(seed, durationMs, {onlySilences: true});
			const blocks = actions.filter(({type}) => platform.targetByType[type] === platform.ActionTarget.Block);
			blockedRuns += blocks.length > 0 ? 1 : 0;
			const endByGateway = new Map<number, number>();
			for (const block of blocks) {
				expect(block.durationMs).to.be.within(200, 2000);
				expect(block.amount).to.be.within(1, 4);
				const endMs = block.atMs + platform.estimateMs(block, sizes);
				for (const index of platform.listBlockedGateways(block, sizes)) {
					expect(block.atMs, `seed ${seed}, gateway ${index}`).to.be.at.least(endByGateway.get(index) ?? 0);
					endByGateway.set(index, endMs);
				}

				for (const action of actions.filter(({atMs}) => atMs >= block.atMs && atMs <= endMs)) {
					types.add(action.type);
				}
			}
		}

		expect(blockedRuns).to.be.within(20, 40);
		expect([...types]).to.include.members([...blockTypes, platform.ActionType.StopGateway, platform.ActionType.SilenceServers, platform.ActionType.MixedStorm]);
	});

	it('changes settings and lets the store refuse some gateways while these have no other action', () => {
		for (let seed = 1; seed <= 60; seed++) {
			const {actions, sizes} = platform.createPlatformPlan(seed, durationMs);
			const extra = actions.filter(({type}) => extraTypes.has(type));
			for (const action of extra) {
				const others = actions.filter(other => other !== action
					&& platform.listTargets(other, sizes).some(target => platform.listTargets(action, sizes).includes(target)));
				for (const other of others) {
					const isBefore = other.atMs + platform.estimateMs(other, sizes) < action.atMs;
					expect(isBefore || other.atMs > action.atMs + platform.estimateMs(action, sizes), `seed ${seed}, ${other.type}`).to.equal(true);
				}
			}
		}
	});

	it('spreads gateways and servers over one to three data centres', () => {
		const counts = new Set<number>();
		for (let seed = 1; seed <= 60; seed++) {
			const {sizes} = platform.createPlatformPlan(seed, durationMs);
			counts.add(sizes.dataCentres);
			const names = new Set(Array.from({length: 3}, (_, index) => platform.dataCentreOf(index, sizes)));
			expect(names.size).to.equal(sizes.dataCentres);
		}

		expect(counts).to.deep.equal(new Set([1, 2, 3]));
	});
});
