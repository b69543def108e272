import * as util from '../../util/index.js';
import * as platformAction from './platform-action.js';

const {ActionType: types} = platformAction;
const drawnTypes = [types.BlockGateway, types.BlockGateway, types.BlockGateway, types.BlockGateways, types.StopGateway];
const seedOffset = 8_000_000;
/** Share of the runs with silences alone in which gateways are blocked and stopped. */
const runShare = 0.5;
const meanIntervalMs = 700;
const minBlockMs = 200;
const maxBlockMs = 2000;
const maxBlocks = 4;

/**
 * Draws for half of the seeds series of blocks of gateways, and planned stops of gateways beside them; draws of other actions do not
 * depend on it.
 */
export function drawBlocks(
	seed: number,
	{fromMs, toMs}: {readonly fromMs: number; readonly toMs: number},
	sizes: platformAction.PlatformSizes,
): platformAction.PlannedAction[] {
	const random = new util.Random(seedOffset + seed);
	const drawn: platformAction.PlannedAction[] = [];
	if (!random.chance(runShare)) {
		return drawn;
	}

	const busyUntil = new Map<string, number>();
	for (let atMs = fromMs; atMs < toMs; atMs += random.exponential(meanIntervalMs)) {
		const action: platformAction.PlannedAction = {
			atMs: Math.round(atMs),
			type: random.pick(drawnTypes),
			targetIndex: random.integer(0, sizes.gateways - 1),
			durationMs: random.integer(minBlockMs, maxBlockMs),
			amount: random.integer(1, maxBlocks),
		};
		const endMs = action.atMs + platformAction.estimateMs(action, sizes);
		const targets = platformAction.listTargets(action, sizes);
		if (endMs <= toMs && targets.every(target => (busyUntil.get(target) ?? 0) <= action.atMs)) {
			drawn.push(action);
			for (const target of targets) {
				busyUntil.set(target, endMs);
			}
		}
	}

	return drawn;
}
