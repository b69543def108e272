import type * as model from '../model/index.js';
import * as util from '../util/index.js';
import type * as manifestHead from './manifest-head.js';

/** Where a head was seen: a router's name, or absent for the key-value service. */
export type HeadSource = model.VmId | undefined;

/** A head that is newer than the one in force and whose sections are being fetched. */
export type PendingHead = {
	readonly head: manifestHead.ManifestHead;
	readonly source: HeadSource;
};

/** A generation that is newer than the one in force. */
export type NewerGeneration = {
	readonly generation: model.Generation;
	/** Time in milliseconds since when a newer generation than the one in force is known. */
	readonly since: number;
};

/** What a router knows of the manifest's generations. */
export type TrackerState = {
	readonly inForce?: manifestHead.ManifestHead;
	readonly pending?: PendingHead;
	readonly newer?: NewerGeneration;
};

/** What happens to the tracker. */
export enum TrackerEventType {
	/** A head was read from the key-value service or told by a router. */
	HeadSeen = 'head_seen',
	/** A generation is known to be accepted; its head may not have been seen. */
	GenerationKnown = 'generation_known',
	/** Sections have arrived. */
	SectionsArrived = 'sections_arrived',
}

/** Event of the tracker; `held` are the hashes of all sections that the router holds. */
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

/** What the tracker asks for. */
export enum TrackerEffectType {
	FetchSections = 'fetch_sections',
	/** Stop using recalled batches at once, although the rest of the head is not in force yet. */
	BlockBatches = 'hold_back',
	/** Put the head's manifest in force. */
	Adopt = 'adopt',
}

/** Effect of the tracker. */
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
 * Takes generations only forwards: the newest head seen is pending until all its sections are held, then in force.
 * What it recalls is held back at once.
 *
 * @throws InvariantError when two changes carry one generation.
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

/** Returns the hashes of a head's sections that are not held, each once. */
export function findMissingSections(head: manifestHead.ManifestHead, held: ReadonlySet<string>): readonly string[] {
	const hashes = new Set(head.sections.map(section => section.hash));
	return [...hashes].filter(hash => !held.has(hash));
}

function handleHeadSeen(state: TrackerState, event: HeadSeenEvent): TrackerStep {
	const {head, source, held} = event;
	assertOneChangePerGeneration(state.inForce, head);
	assertOneChangePerGeneration(state.pending?.head, head);
	const newest = state.pending?.head ?? state.inForce;
	if (newest !== undefined && head.generation <= newest.generation) {
		return {state, effects: []};
	}

	const pending = {head, source};
	return adoptIfComplete({...state, pending}, pending, held);
}

function recordNewerGeneration(state: TrackerState, generation: model.Generation, now: number): TrackerState {
	const known = state.newer?.generation ?? state.inForce?.generation ?? 0;
	return generation <= known ? state : {...state, newer: {generation, since: state.newer?.since ?? now}};
}

function adoptIfComplete(state: TrackerState, pending: PendingHead, held: ReadonlySet<string>): TrackerStep {
	const {head, source} = pending;
	const hashes = findMissingSections(head, held);
	if (hashes.length > 0) {
		return {state, effects: [...blockNewlyRecalled(state.inForce, head), {type: TrackerEffectType.FetchSections, hashes, source}]};
	}

	const before = state.inForce?.generation ?? 0;
	util.assertInvariant(head.generation > before, 'manifest.forwards-only', () => `${head.generation} after ${before}`);
	const newer = state.newer !== undefined && state.newer.generation > head.generation ? {newer: state.newer} : {};
	return {state: {inForce: head, ...newer}, effects: [{type: TrackerEffectType.Adopt, head, source}]};
}

/** A recall does not wait for sections that an earlier change brought. */
function blockNewlyRecalled(inForce: manifestHead.ManifestHead | undefined, pending: manifestHead.ManifestHead): TrackerEffect[] {
	const known = new Set(inForce?.recalled);
	const batches = pending.recalled.filter(batch => !known.has(batch));
	return inForce === undefined || batches.length === 0 ? [] : [{type: TrackerEffectType.BlockBatches, batches}];
}

function assertOneChangePerGeneration(known: manifestHead.ManifestHead | undefined, seen: manifestHead.ManifestHead): void {
	util.assertInvariant(
		known?.generation !== seen.generation || known.changeId === seen.changeId,
		'manifest.one-change-per-generation',
		() => `generation ${seen.generation} is both ${known?.changeId} and ${seen.changeId}`,
	);
}
