import * as util from '../../util/index.js';
import * as platformAction from './platform-action.js';

/** How servers fall silent in a phase. */
export enum SilenceMode {
	None = 'none',
	/** Beside the other actions of the phase. */
	Beside = 'beside',
	/** In place of the other actions of the phase, beside many changes by the operator. */
	Only = 'only',
}

/** Part of a run; times are in milliseconds since its start. */
export type Phase = {
	readonly fromMs: number;
	readonly toMs: number;
	readonly mode: SilenceMode;
};

const {ActionType: types} = platformAction;
const silenceTypes = [types.SilenceServer, types.SilenceServers, types.SilenceServers, types.SilenceService, types.SilenceInTurn];
const changeTypes = [
	types.RevokeKey,
	types.RevokeKeys,
	types.RevokeKeys,
	types.ConfigStorm,
	types.ChangeTimeouts,
	types.ChangeIdleTimeout,
	types.MixedStorm,
	types.NameVersion,
	types.Burst,
];
const seedOffset = 5_000_000;
const modes = [SilenceMode.None, SilenceMode.Beside, SilenceMode.Only];
const meanIntervalMs = 500;
/** Share of the drawn actions that are changes, in a phase of silences alone; the other phases have changes of their own. */
const changeShare = 0.45;
const minSilenceMs = 300;
const maxSilenceMs = 2000;
const maxAmount = 6;

/** Returns how servers fall silent in a phase of a run; a pure function of the seed and the number of the phase. */
export function drawMode(seed: number, phaseNumber: number): SilenceMode {
	return new util.Random((seedOffset * (phaseNumber + 1)) + seed).pick(modes);
}

/** Draws the silences of servers in all phases, and the changes of configurations beside them; draws of other actions do not depend on it. */
export function drawSilences(seed: number, phases: readonly Phase[], sizes: platformAction.PlatformSizes): platformAction.PlannedAction[] {
	const random = new util.Random(seedOffset + seed);
	const busyUntil = new Map<string, number>();
	return phases.filter(({mode}) => mode !== SilenceMode.None).flatMap(phase => drawPhase(random, phase, sizes, busyUntil));
}

function drawPhase(
	random: util.Random,
	{fromMs, toMs, mode}: Phase,
	sizes: platformAction.PlatformSizes,
	busyUntil: Map<string, number>,
): platformAction.PlannedAction[] {
	const drawn: platformAction.PlannedAction[] = [];
	for (let atMs = fromMs; atMs < toMs; atMs += random.exponential(meanIntervalMs)) {
		const isChange = mode === SilenceMode.Only && random.chance(changeShare);
		const action: platformAction.PlannedAction = {
			atMs: Math.round(atMs),
			type: random.pick(isChange ? changeTypes : silenceTypes),
			targetIndex: random.integer(0, (2 * sizes.engines) + sizes.runners - 1),
			durationMs: random.integer(minSilenceMs, maxSilenceMs),
			amount: random.integer(1, maxAmount),
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
