import * as config from '@bluebellmast/config';
import type * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import createDebug from 'debug';

const debug = createDebug('bluebellmast:manifest');

/** A read of the head; `failed` when the service gave none. */
export type HeadReadResult = {
	readonly failed: boolean;
	/** Absent before the first manifest. */
	readonly head?: core.manifest.ManifestHead;
};

/** Reads and watches the manifest in the key-value service. */
export class ManifestKvSource {
	readonly #kv: clients.kv.KeyValueClient;
	readonly #onHead: (head: core.manifest.ManifestHead) => void;
	#watch: clients.kv.KvWatch | undefined;

	constructor(kv: clients.kv.KeyValueClient, onHead: (head: core.manifest.ManifestHead) => void) {
		this.#kv = kv;
		this.#onHead = onHead;
	}

	/** Whether a watch is under way. */
	get isWatching(): boolean {
		return this.#watch !== undefined;
	}

	async readHead(): Promise<HeadReadResult> {
		const result = await this.#kv.get(config.manifest.headKey);
		return result
			.map(entry => entry === undefined ? {failed: false} : parseHead(entry.value))
			.orDefault({failed: true});
	}

	/** Reads one section; `undefined` when it can't be read. */
	async readSection(hash: string): Promise<Uint8Array | undefined> {
		const result = await this.#kv.get(config.manifest.sectionKey(hash));
		return result.toMaybe().extract()?.value;
	}

	/** Opens a watch when none is under way. */
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
				debug('the watch of the manifest ended: %s', reason);
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
