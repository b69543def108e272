import type * as core from '@bluebellmast/core';

/** What became of a change when the response to its write was lost. */
export enum ChangeOutcomeType {
	Accepted = 'accepted',
	/** Another change based on the same generation was accepted; this one can no longer take effect. */
	Superseded = 'superseded',
	/** The generation that the change is based on is still the newest: the write may still take effect, and may be sent again. */
	Pending = 'pending',
	/** Too many changes were accepted since; the head no longer lists the generation after the one that the change is based on. */
	NoLongerRecorded = 'forgotten',
}

/** Outcome of a change, with its generation if it was accepted. */
export type ChangeOutcome = {
	readonly type: ChangeOutcomeType;
	readonly generation?: core.model.Generation;
};

/**
 * Determines the outcome of a change from the head in the key-value service.
 *
 * @param head - The head that was read after the response to the write was lost; `undefined` when there is none.
 * @param changeId - Id of the change.
 * @param madeFrom - Generation that the change is based on, whose head the write was to replace; 0 for none.
 */
export function resolveChangeOutcome(head: core.manifest.ManifestHead | undefined, changeId: string, madeFrom: core.model.Generation): ChangeOutcome {
	const accepted = head?.recentChanges.find(change => change.changeId === changeId);
	if (accepted !== undefined) {
		return {type: ChangeOutcomeType.Accepted, generation: accepted.generation};
	}

	if (head === undefined || head.generation <= madeFrom) {
		return {type: ChangeOutcomeType.Pending};
	}

	const hasSuccessor = head.recentChanges.some(change => change.generation === madeFrom + 1);
	return {type: hasSuccessor ? ChangeOutcomeType.Superseded : ChangeOutcomeType.NoLongerRecorded};
}
