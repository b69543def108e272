import type * as core from '@bluebellmast/core';

/** What an operator writes: a manifest without what its acceptance adds. */
export type ManifestContent = Omit<core.model.Manifest, 'generation' | 'recalled'>;

/** Name of a list of the manifest. */
export type ManifestListName = keyof ManifestContent;

/** The lists in the order in which they are encoded. */
export const manifestListNames: readonly ManifestListName[] = ['models', 'adapters', 'accounts', 'kinds', 'services', 'endpoints'];

/** A manifest file that was read. */
export type ParsedManifest = {
	readonly content: ManifestContent;
	/** Generation that the file says it was made from. */
	readonly madeFrom: core.model.Generation | undefined;
};
