import type * as core from '@bluebellmast/core';

/** The content of a manifest file: a manifest without the fields that are set when it is accepted. */
export type ManifestContent = Omit<core.model.Manifest, 'generation' | 'recalled'>;

/** Name of a list of the manifest. */
export type ManifestListName = keyof ManifestContent;

/** The lists of the manifest in the order in which they are encoded. */
export const manifestListNames: readonly ManifestListName[] = ['models', 'adapters', 'accounts', 'kinds', 'services', 'endpoints'];

/** A parsed manifest file. */
export type ParsedManifest = {
	readonly content: ManifestContent;
	/** Generation that the file is based on, if it states one. */
	readonly madeFrom: core.model.Generation | undefined;
};
