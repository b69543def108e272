import type * as model from '../model/index.js';
import * as util from '../util/index.js';
import type * as manifestHead from './manifest-head.js';

/** Source of a manifest head: the VM of a router, or `undefined` for the key-value service. */
export type HeadSource = model.VmId | undefined;

/** A manifest head newer than the active one, whose sections are being fetched. */
export type PendingHead = {
	readonly head: manifestHead.ManifestHead;
	readonly source: HeadSource;
};

/** The newest known generation, when it is newer than the active one. */
export type NewerGeneration = {
	readonly generation: model.Generation;
	/** Time in milliseconds since which any generation newer than the active one is known. */
	readonly since: number;
};

/** State of the tracker: the generations that a router knows. */
export type TrackerState = {
	readonly active?: manifestHead.ManifestHead;
	readonly pending?: PendingHead;
	readonly newer?: NewerGeneration;
};

/** Type of an event that `stepTracker` handles. */
export enum TrackerEventType {
	/** A manifest head was read from the key-value service or received from a router. */
	HeadSeen = 'head_seen',
	/** A generation is known to be accepted, possibly without its head having been seen. */
	GenerationKnown = 'generation_known',
	/** Further sections of the manifest were stored. */
	SectionsArrived = 'sections_arrived',
}

/** Input of `stepTracker`; `held` contains the hashes of all sections that the router has stored. */
export type TrackerEvent = {
	readonly type: TrackerEventType.HeadSeen;
	readonly head: manifestHead.ManifestHead;
	readonly source: HeadSource;
	readonly held: ReadonlySet<string>;
} | {
	readonly type: TrackerEventType.GenerationKnown;
	readonly generation: model.Generation;
} | {
	readonly type: TrackerEventType.SectionsArrived;
	readonly held: ReadonlySet<string>;
};

/** Type of an effect that the caller of `stepTracker` carries out. */
export enum TrackerEffectType {
	FetchSections = 'fetch_sections',
	/** Stop using recalled batches at once, before the rest of the head is active. */
	BlockBatches = 'hold_back',
	/** Activate the manifest of the head. */
	Adopt = 'adopt',
}

/** Output of `stepTracker`. */
export type TrackerEffect = {
	readonly type: TrackerEffectType.FetchSections;
	readonly hashes: readonly string[];
	readonly source: HeadSource;
} | {
	readonly type: TrackerEffectType.BlockBatches;
	readonly batches: readonly model.BatchKey[];
} | {
	readonly type: TrackerEffectType.Adopt;
	readonly head: manifestHead.ManifestHead;
	readonly source: HeadSource;
};

type HeadSeenEvent = Extract<TrackerEvent, {type: TrackerEventType.HeadSeen}>;
type TrackerStep = util.Step<TrackerState, TrackerEffect>;

/** State of a router that has just started. */
export const initialTrackerState: TrackerState = {};

/**
 * Handles an event. Generations only increase: the newest head seen is pending until all its sections are stored,
 * then active. The batches that it recalls are blocked at once.
 *
 * @throws InvariantError when two different changes carry the same generation.
 */
export function stepTracker(state: TrackerState, event: TrackerEvent, now: number): TrackerStep {
	switch (event.type) {
		case TrackerEventType.HeadSeen: {
			return handleHeadSeen(recordNewerGeneration(state, event.head.generation, now), event);
		}

		case TrackerEventType.GenerationKnown: {
			return {state: recordNewerGeneration(state, event.generation, now), effects: []};
		}

		case TrackerEventType.SectionsArrived: {
			return state.pending === undefined ? {state, effects: []} : adoptIfComplete(state, state.pending, event.held);
		}
	}
}

/** Returns the distinct hashes of the sections of a head that are not in `held`. */
export function findMissingSections(head: manifestHead.ManifestHead, held: ReadonlySet<string>): readonly string[] {
	const hashes = new Set(head.sections.map(section => section.hash));
	return [...hashes].filter(hash => !held.has(hash));
}

function handleHeadSeen(state: TrackerState, event: HeadSeenEvent): TrackerStep {
	const {head, source, held} = event;
	assertOneChangePerGeneration(state.active, head);
	assertOneChangePerGeneration(state.pending?.head, head);
	const newest = state.pending?.head ?? state.active;
	if (newest !== undefined && head.generation <= newest.generation) {
		return {state, effects: []};
	}

	const pending = {head, source};
	return adoptIfComplete({...state, pending}, pending, held);
}

function recordNewerGeneration(state: TrackerState, generation: model.Generation, now: number): TrackerState {
	const known = state.newer?.generation ?? state.active?.generation ?? 0;
	return generation <= known ? state : {...state, newer: {generation, since: state.newer?.since ?? now}};
}

function adoptIfComplete(state: TrackerState, pending: PendingHead, held: ReadonlySet<string>): TrackerStep {
	const {head, source} = pending;
	const hashes = findMissingSections(head, held);
	if (hashes.length > 0) {
		return {state, effects: [...blockNewlyRecalled(state.active, head), {type: TrackerEffectType.FetchSections, hashes, source}]};
	}

	const before = state.active?.generation ?? 0;
	util.assertInvariant(
		head.generation > before,
		'manifest.forwards-only',
		() => `generation ${head.generation} is not newer than the active generation ${before}`,
	);
	const newer = state.newer !== undefined && state.newer.generation > head.generation ? {newer: state.newer} : {};
	return {state: {active: head, ...newer}, effects: [{type: TrackerEffectType.Adopt, head, source}]};
}

/** Blocks newly recalled batches at once, because a recall must not wait for sections that an earlier change added. */
function blockNewlyRecalled(active: manifestHead.ManifestHead | undefined, pending: manifestHead.ManifestHead): TrackerEffect[] {
	const known = new Set(active?.recalled);
	const batches = pending.recalled.filter(batch => !known.has(batch));
	return active === undefined || batches.length === 0 ? [] : [{type: TrackerEffectType.BlockBatches, batches}];
}

function assertOneChangePerGeneration(known: manifestHead.ManifestHead | undefined, seen: manifestHead.ManifestHead): void {
	util.assertInvariant(
		known?.generation !== seen.generation || known.changeId === seen.changeId,
		'manifest.one-change-per-generation',
		() => `generation ${seen.generation} belongs to both change ${known?.changeId} and change ${seen.changeId}`,
	);
}
