/* eslint-disable @typescript-eslint/naming-convention -- Field names of the protocol. */
import type * as undici from 'undici';
import * as etcdProtocol from './etcd-protocol.js';
import * as kvCallType from './kv-call-type.js';
import type * as client from './key-value-client.js';
import type * as etcdTransport from './etcd-transport.js';

/** What a watch is to see. */
export type EtcdWatchTarget = {
	readonly key: string;
	readonly prefix: boolean;
	/** First revision to report. */
	readonly startRevision: number;
};

/** A watch on its own connection; ends itself when nothing, not even a progress notice, came in time. */
export class EtcdWatch implements client.KvWatch {
	readonly #abort = new AbortController();
	#ended = false;
	#timer: NodeJS.Timeout | undefined;
	#rest = '';

	constructor(
		private readonly transport: etcdTransport.EtcdTransport,
		private readonly listener: client.KvWatchListener,
		private readonly progressTimeoutMs: number,
		private readonly onRevision: (revision: number) => void,
	) {}

	/** Runs until the watch ends. */
	async run(target: Promise<EtcdWatchTarget>): Promise<void> {
		try {
			this.#restartTimer();
			const res = await this.transport.open(watchCall(await target), this.#abort.signal);
			await this.#read(res);
			this.#end('closed by the service');
		} catch (err) {
			this.#end(String(err));
		}
	}

	close(): void {
		this.#ended = true;
		clearTimeout(this.#timer);
		this.#abort.abort();
	}

	async #read(res: undici.Dispatcher.ResponseData): Promise<void> {
		if (res.statusCode !== 200) {
			const text = await res.body.text();
			this.#end(`status ${res.statusCode}: ${text}`);
			return;
		}

		const decoder = new TextDecoder();
		for await (const chunk of res.body) {
			this.#onText(decoder.decode(chunk as Uint8Array, {stream: true}));
			if (this.#ended) {
				return;
			}
		}
	}

	#onText(text: string): void {
		this.#restartTimer();
		const lines = (this.#rest + text).split('\n');
		this.#rest = lines.pop()!;
		for (const line of lines.filter(line => line.trim() !== '')) {
			this.#onLine(JSON.parse(line) as {result?: etcdProtocol.EtcdWatchResult; error?: etcdProtocol.EtcdFailure});
		}
	}

	#onLine(line: {result?: etcdProtocol.EtcdWatchResult; error?: etcdProtocol.EtcdFailure}): void {
		const {result} = line;
		if (!result || result.canceled) {
			this.onRevision(Number(result?.compact_revision ?? 0));
			this.#end(line.error?.message ?? result?.cancel_reason ?? 'cancelled by the service');
			return;
		}

		for (const event of result.events ?? []) {
			if (this.#ended) {
				return;
			}

			const entry = event.type === 'DELETE' ? undefined : etcdProtocol.toEntry(event.kv);
			this.listener.onChange({key: etcdProtocol.decodeText(event.kv.key), ...(entry && {entry})});
		}
	}

	#restartTimer(): void {
		clearTimeout(this.#timer);
		if (this.#ended) {
			return;
		}

		this.#timer = setTimeout(() => {
			this.#end('silent');
		}, this.progressTimeoutMs);
		this.#timer.unref();
	}

	#end(reason: string): void {
		if (this.#ended) {
			return;
		}

		this.close();
		this.listener.onEnd(reason);
	}
}

function watchCall(target: EtcdWatchTarget): etcdTransport.EtcdCall {
	return {
		type: kvCallType.KvCallType.Watch,
		path: '/v3/watch',
		writes: false,
		body: {
			create_request: {
				key: etcdProtocol.encode(target.key),
				...(target.prefix && {range_end: etcdProtocol.endOfPrefix(target.key)}),
				start_revision: String(target.startRevision),
				progress_notify: true,
			},
		},
	};
}
