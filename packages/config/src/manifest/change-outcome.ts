import type * as core from '@bluebellmast/core';

/** What became of a change whose answer was lost. */
export enum ChangeOutcomeType {
	Accepted = 'accepted',
	/** Another change took its place; this one can never take effect. */
	Superseded = 'superseded',
	/** The base is still in force: the write may yet arrive, and the same write may be sent again. */
	Pending = 'pending',
	/** So many changes were accepted since that the head no longer tells. */
	NoLongerRecorded = 'forgotten',
}

/** Outcome of a change, with its generation when it was accepted. */
export type ChangeOutcome = {
	readonly type: ChangeOutcomeType;
	readonly generation?: core.model.Generation;
};

/**
 * Resolves a change by reading back.
 *
 * @param head - The head that was read after the write's answer was lost.
 * @param changeId - The change.
 * @param base - Generation whose head the write was to replace.
 */
export function resolveChangeOutcome(head: core.manifest.ManifestHead | undefined, changeId: string, base: core.model.Generation): ChangeOutcome {
	const accepted = head?.recentChanges.find(change => change.changeId === changeId);
	if (accepted !== undefined) {
		return {type: ChangeOutcomeType.Accepted, generation: accepted.generation};
	}

	if (head === undefined || head.generation <= base) {
		return {type: ChangeOutcomeType.Pending};
	}

	const hasSuccessor = head.recentChanges.some(change => change.generation === base + 1);
	return {type: hasSuccessor ? ChangeOutcomeType.Superseded : ChangeOutcomeType.NoLongerRecorded};
}
