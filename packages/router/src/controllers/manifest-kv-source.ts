import * as config from '@bluebellmast/config';
import type * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import createDebug from 'debug';

const debug = createDebug('bluebellmast:manifest');

/** Result of a read of the manifest head. */
export type HeadReadResult = {
	/** Whether the read failed or the stored head is malformed. */
	readonly failed: boolean;
	/** Absent before the first manifest is written, and when the read failed. */
	readonly head?: core.manifest.ManifestHead;
};

/** Reads the manifest from the key-value service and watches its head. */
export class ManifestKvSource {
	readonly #kv: clients.kv.KeyValueClient;
	readonly #onHead: (head: core.manifest.ManifestHead) => void;
	#watch: clients.kv.KvWatch | undefined;

	constructor(kv: clients.kv.KeyValueClient, onHead: (head: core.manifest.ManifestHead) => void) {
		this.#kv = kv;
		this.#onHead = onHead;
	}

	/** Whether a watch is open. */
	get isWatching(): boolean {
		return this.#watch !== undefined;
	}

	async readHead(): Promise<HeadReadResult> {
		const result = await this.#kv.get(config.manifest.headKey);
		return result
			.map(entry => entry === undefined ? {failed: false} : parseHead(entry.value))
			.orDefault({failed: true});
	}

	/** Reads one section; `undefined` if it cannot be read. */
	async readSection(hash: string): Promise<Uint8Array | undefined> {
		const result = await this.#kv.get(config.manifest.sectionKey(hash));
		return result.toMaybe().extract()?.value;
	}

	/** Opens a watch on the head unless one is open. */
	openWatch(): void {
		if (this.#watch !== undefined) {
			return;
		}

		const watch = this.#kv.watch(config.manifest.headKey, false, {
			onChange: change => {
				const read = change.entry === undefined ? undefined : parseHead(change.entry.value);
				if (read?.head !== undefined) {
					this.#onHead(read.head);
				}
			},
			onEnd: reason => {
				debug('manifest watch ended: %s', reason);
				this.#watch = undefined;
			},
		});
		this.#watch = watch;
	}

	closeWatch(): void {
		this.#watch?.close();
		this.#watch = undefined;
	}
}

function parseHead(bytes: Uint8Array): HeadReadResult {
	return config.manifest.decodeHead(bytes)
		.ifLeft(reason => {
			debug('%s', reason);
		})
		.map((head): HeadReadResult => ({failed: false, head}))
		.orDefault({failed: true});
}
