import type * as model from '../model/index.js';

/** Reference to a section of the manifest's content, which is stored under its hash. */
export type SectionReference = {
	/** Manifest list that the section contains entries of, and the section's index in it, such as `endpoints/0`. */
	readonly name: string;
	/** SHA-256 of the section's bytes, as lower-case hex. */
	readonly hash: string;
};

/** Reference to an accepted change of the manifest. */
export type ChangeReference = {
	readonly generation: model.Generation;
	/** Unique ID that the operators' tool generates for each change. */
	readonly changeId: string;
};

/** Root value of the manifest: writing it accepts a change. References the content by hash. */
export type ManifestHead = {
	readonly generation: model.Generation;
	readonly changeId: string;
	/** Generation that the change was based on. */
	readonly madeFrom: model.Generation;
	readonly sections: readonly SectionReference[];
	/** Keys of the recalled batches, sorted. Only an explicit reinstatement removes one. */
	readonly recalled: readonly model.BatchKey[];
	/** Latest accepted changes, newest first, including this one. */
	readonly recentChanges: readonly ChangeReference[];
};
