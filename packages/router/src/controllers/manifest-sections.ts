import * as config from '@bluebellmast/config';
import type * as core from '@bluebellmast/core';

/** Stores the manifest sections that this router has, by hash. */
export class ManifestSections {
	readonly #bytes = new Map<string, Uint8Array>();

	/** Hashes of the stored sections. */
	get hashes(): ReadonlySet<string> {
		return new Set(this.#bytes.keys());
	}

	/** Stores a section; returns false if the bytes do not match the hash. */
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

	/** Assembles the manifest of a head; `undefined` if a section is missing or malformed. */
	assemble(head: core.manifest.ManifestHead): core.model.Manifest | undefined {
		return config.manifest.assembleManifest(head, this.#bytes);
	}

	/** Removes all sections that a head does not reference. */
	retainOnly(head: core.manifest.ManifestHead): void {
		const hashes = new Set(head.sections.map(section => section.hash));
		for (const hash of this.#bytes.keys()) {
			if (!hashes.has(hash)) {
				this.#bytes.delete(hash);
			}
		}
	}
}
