import * as util from '../../util/index.js';
import * as platformAction from './platform-action.js';

const {ActionType: types} = platformAction;

type ExtraGroup = {
	readonly extraTypes: readonly platformAction.ActionType[];
	readonly seedOffset: number;
	readonly meanIntervalMs: number;
};

const groups: readonly ExtraGroup[] = [
	{
		extraTypes: [types.ChangeSettings, types.BreakSettings, types.StoreUnavailableToSome, types.StoreLimitsSome],
		seedOffset: 3_000_000,
		meanIntervalMs: 4000,
	},
	{extraTypes: [types.SignalSeries], seedOffset: 6_000_000, meanIntervalMs: 1500},
	{extraTypes: [types.StoreReturns], seedOffset: 7_000_000, meanIntervalMs: 8000},
];
const dataCentresOffset = 4_000_000;
const maxDataCentres = 3;
/** Share of the runs with these actions. */
const runShare = 0.5;
const minDurationMs = 300;
const maxDurationMs = 4000;
const maxAmount = 6;

/** Returns the number of data centres of a run. */
export function drawDataCentres(seed: number): number {
	return new util.Random(dataCentresOffset + seed).integer(1, maxDataCentres);
}

/**
 * Draws for half of the seeds actions of each group, at times at which their targets have no other action; draws of other actions do not depend
 * on it.
 */
export function drawExtraActions(
	seed: number,
	others: readonly platformAction.PlannedAction[],
	sizes: platformAction.PlatformSizes,
	period: {readonly fromMs: number; readonly lastMs: number},
): platformAction.PlannedAction[] {
	const drawn: platformAction.PlannedAction[] = [];
	for (const group of groups) {
		drawn.push(...drawGroup(new util.Random(group.seedOffset + seed), group, [...others, ...drawn], {...period, sizes}));
	}

	return drawn;
}

function drawGroup(
	random: util.Random,
	{extraTypes, meanIntervalMs}: ExtraGroup,
	others: readonly platformAction.PlannedAction[],
	{fromMs, lastMs, sizes}: {readonly fromMs: number; readonly lastMs: number; readonly sizes: platformAction.PlatformSizes},
): platformAction.PlannedAction[] {
	const drawn: platformAction.PlannedAction[] = [];
	if (!random.chance(runShare)) {
		return drawn;
	}

	for (let atMs = fromMs; atMs < lastMs; atMs += random.exponential(meanIntervalMs)) {
		const action: platformAction.PlannedAction = {
			atMs: Math.round(atMs),
			type: random.pick(extraTypes),
			targetIndex: random.integer(0, sizes.gateways - 1),
			durationMs: random.integer(minDurationMs, maxDurationMs),
			amount: random.integer(1, maxAmount),
		};
		const isFree = [...others, ...drawn].every(other => !overlap(action, other, sizes));
		if (isFree && action.atMs + platformAction.estimateMs(action, sizes) <= lastMs) {
			drawn.push(action);
		}
	}

	return drawn;
}

/** Returns whether two actions have a target in common at the same time. */
function overlap(first: platformAction.PlannedAction, second: platformAction.PlannedAction, sizes: platformAction.PlatformSizes): boolean {
	const targets = platformAction.listTargets(second, sizes);
	return platformAction.listTargets(first, sizes).some(target => targets.includes(target))
		&& first.atMs <= second.atMs + platformAction.estimateMs(second, sizes)
		&& second.atMs <= first.atMs + platformAction.estimateMs(first, sizes);
}
