import * as config from '@bluebellmast/config';
import type * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';

/** Reads the sections that a head refers to and returns their manifest; `undefined` if a section can't be read. */
export async function readManifest(kv: clients.kv.KeyValueClient, head: core.manifest.ManifestHead): Promise<core.model.Manifest | undefined> {
	const sections = new Map<string, Uint8Array>();
	for (const {hash} of head.sections) {
		const result = await kv.get(config.manifest.sectionKey(hash)); // eslint-disable-line no-await-in-loop -- Sequential, to avoid a burst of reads.
		result.ifRight(entry => {
			if (entry !== undefined) {
				sections.set(hash, entry.value);
			}
		});
	}

	return config.manifest.assembleManifest(head, sections);
}
