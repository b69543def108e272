import type * as model from '../model/index.js';

/** Names a part of the manifest's content. */
export type SectionReference = {
	/** List of the manifest that the section holds entries of, with its number: `endpoints/0`. */
	readonly name: string;
	/** SHA-256 of the section's bytes, as lower-case hex. */
	readonly hash: string;
};

/** An accepted change. */
export type ChangeReference = {
	readonly generation: model.Generation;
	/** Drawn anew by the operators' tool for each change. */
	readonly changeId: string;
};

/** The one value that accepts a change of the manifest; it names the content by hash. */
export type ManifestHead = {
	readonly generation: model.Generation;
	readonly changeId: string;
	/** Generation that the content was made from. */
	readonly madeFrom: model.Generation;
	readonly sections: readonly SectionReference[];
	/** Text forms of recalled batches, sorted; grows but for an explicit reinstatement. */
	readonly recalled: readonly model.BatchKey[];
	/** The latest accepted changes, newest first, this one included. */
	readonly recentChanges: readonly ChangeReference[];
};
