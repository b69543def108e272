import * as config from '@bluebellmast/config';
import type * as core from '@bluebellmast/core';

/** Sections that a router holds, by hash. */
export class ManifestSections {
	readonly #bytes = new Map<string, Uint8Array>();

	/** Hashes of the sections that are held. */
	get hashes(): ReadonlySet<string> {
		return new Set(this.#bytes.keys());
	}

	/** Takes a section in; returns false when the bytes do not have the hash. */
	add(hash: string, bytes: Uint8Array): boolean {
		if (config.manifest.hashSection(bytes) !== hash) {
			return false;
		}

		this.#bytes.set(hash, bytes);
		return true;
	}

	get(hash: string): Uint8Array | undefined {
		return this.#bytes.get(hash);
	}

	/** Puts the head's manifest together; `undefined` when a section is missing or malformed. */
	assemble(head: core.manifest.ManifestHead): core.model.Manifest | undefined {
		return config.manifest.assembleManifest(head, this.#bytes);
	}

	/** Drops all sections that a head does not name. */
	retainOnly(head: core.manifest.ManifestHead): void {
		const hashes = new Set(head.sections.map(section => section.hash));
		for (const hash of this.#bytes.keys()) {
			if (!hashes.has(hash)) {
				this.#bytes.delete(hash);
			}
		}
	}
}
