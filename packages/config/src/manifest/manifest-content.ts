import type * as core from '@bluebellmast/core';

/** What an operator writes: a manifest without what its acceptance adds. */
export type ManifestContent = Omit<core.model.Manifest, 'generation' | 'recalled'>;

/** Name of a list of the manifest. */
export type ListName = keyof ManifestContent;

/** The lists in the order in which they are encoded. */
export const listNames: readonly ListName[] = ['models', 'adapters', 'accounts', 'kinds', 'services', 'endpoints'];

/** A manifest file that was read. */
export type ReadManifest = {
	readonly content: ManifestContent;
	/** Generation that the file says it was made from. */
	readonly madeFrom: core.model.Generation | undefined;
};
