import type * as model from '../model/index.js';
import * as util from '../util/index.js';
import type * as manifestHead from './manifest-head.js';

/** Where a head was seen: a router's name, or absent for the key-value service. */
export type HeadSource = model.VmId | undefined;

/** A head that is newer than the one in force and whose sections are being fetched. */
export type PendingHead = {
	readonly head: manifestHead.ManifestHead;
	readonly source: HeadSource;
	/** When a head newer than the one in force was first seen, in milliseconds. */
	readonly since: number;
};

/** What a router knows of the manifest's generations. */
export type TrackerState = {
	readonly inForce?: manifestHead.ManifestHead;
	readonly pending?: PendingHead;
};

/** What happens to the tracker. */
export enum TrackerEventType {
	/** A head was read from the key-value service or told by a router. */
	HeadSeen = 'head_seen',
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
	readonly type: TrackerEventType.SectionsArrived;
	readonly held: ReadonlySet<string>;
};

/** What the tracker asks for. */
export enum TrackerEffectType {
	FetchSections = 'fetch_sections',
	/** Put the head's manifest in force. */
	Adopt = 'adopt',
}

/** Effect of the tracker. */
export type TrackerEffect = {
	readonly type: TrackerEffectType.FetchSections;
	readonly hashes: readonly string[];
	readonly source: HeadSource;
} | {
	readonly type: TrackerEffectType.Adopt;
	readonly head: manifestHead.ManifestHead;
	readonly source: HeadSource;
};

type TrackerStep = util.Step<TrackerState, TrackerEffect>;

/** State of a router that has just started. */
export const initialTrackerState: TrackerState = {};

/**
 * Takes generations only forwards: the newest head seen is pending until all its sections are held, then in force.
 *
 * @throws InvariantError when two changes carry one generation.
 */
export function stepTracker(state: TrackerState, event: TrackerEvent, now: number): TrackerStep {
	if (event.type === TrackerEventType.SectionsArrived) {
		return state.pending === undefined ? {state, effects: []} : adoptWhenComplete(state, state.pending, event.held);
	}

	assertSameChange(state.inForce, event.head);
	assertSameChange(state.pending?.head, event.head);
	const newest = state.pending?.head ?? state.inForce;
	if (newest !== undefined && event.head.generation <= newest.generation) {
		return {state, effects: []};
	}

	const pending = {head: event.head, source: event.source, since: state.pending?.since ?? now};
	return adoptWhenComplete({...state, pending}, pending, event.held);
}

/** Returns the hashes of a head's sections that are not held, each once. */
export function missingSections(head: manifestHead.ManifestHead, held: ReadonlySet<string>): readonly string[] {
	const hashes = new Set(head.sections.map(section => section.hash));
	return [...hashes].filter(hash => !held.has(hash));
}

function adoptWhenComplete(state: TrackerState, pending: PendingHead, held: ReadonlySet<string>): TrackerStep {
	const {head, source} = pending;
	const hashes = missingSections(head, held);
	if (hashes.length > 0) {
		return {state, effects: [{type: TrackerEffectType.FetchSections, hashes, source}]};
	}

	const before = state.inForce?.generation ?? 0;
	util.assertInvariant(head.generation > before, 'manifest.forwards-only', () => `${head.generation} after ${before}`);
	return {state: {inForce: head}, effects: [{type: TrackerEffectType.Adopt, head, source}]};
}

function assertSameChange(known: manifestHead.ManifestHead | undefined, seen: manifestHead.ManifestHead): void {
	util.assertInvariant(
		known?.generation !== seen.generation || known.changeId === seen.changeId,
		'manifest.one-change-per-generation',
		() => `generation ${seen.generation} is both ${known?.changeId} and ${seen.changeId}`,
	);
}
