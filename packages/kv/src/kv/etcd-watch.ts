/* eslint-disable @typescript-eslint/naming-convention -- Field names of the etcd protocol. */
import type * as undici from 'undici';
import * as timeouts from '../timeouts/index.js';
import * as etcdProtocol from './etcd-protocol.js';
import * as kvCallType from './kv-call-type.js';
import type * as client from './key-value-client.js';
import * as etcdTransport from './etcd-transport.js';

/** The keys and revisions that a watch reports. */
export type EtcdWatchTarget = {
	readonly key: string;
	readonly isPrefix: boolean;
	/** First revision to report. */
	readonly startRevision: number;
};

/** A watch over its own streaming call. It ends when no data, not even a progress notice, arrives within the timeout. */
export class EtcdWatch implements client.KvWatch {
	readonly #abortController = new AbortController();
	#isEnded = false;
	#progressTimer: timeouts.SilenceTimer | undefined;
	#partialLine = '';

	constructor(
		private readonly transport: etcdTransport.EtcdTransport,
		private readonly listener: client.KvWatchListener,
		private readonly progressTimeoutMs: number,
		private readonly onRevision: (revision: number) => void,
	) {}

	/** Opens the watch and reads it until it ends. Does not throw: the reason of the end goes to the listener. */
	async run(target: Promise<EtcdWatchTarget>): Promise<void> {
		try {
			this.#restartProgressTimer();
			const res = await this.transport.openStream(createWatchCall(await target), this.#abortController.signal);
			await this.#readLines(res);
			this.#end('the service closed the stream');
		} catch (err) {
			this.#end(String(err));
		}
	}

	close(): void {
		this.#stop(new etcdTransport.StreamClosedError());
	}

	async #readLines(res: undici.Dispatcher.ResponseData): Promise<void> {
		if (res.statusCode !== 200) {
			const text = await res.body.text();
			this.#end(`HTTP status ${res.statusCode}: ${text}`);
			return;
		}

		const decoder = new TextDecoder();
		for await (const chunk of res.body) {
			this.#handleText(decoder.decode(chunk as Uint8Array, {stream: true}));
			if (this.#isEnded) {
				return;
			}
		}
	}

	#handleText(text: string): void {
		this.#restartProgressTimer();
		const lines = (this.#partialLine + text).split('\n');
		this.#partialLine = lines.pop()!;
		for (const line of lines.filter(line => line.trim() !== '')) {
			this.#handleLine(JSON.parse(line) as {result?: etcdProtocol.EtcdWatchResult; error?: etcdProtocol.EtcdErrorBody});
		}
	}

	#handleLine(line: {result?: etcdProtocol.EtcdWatchResult; error?: etcdProtocol.EtcdErrorBody}): void {
		const {result} = line;
		if (!result || result.canceled) {
			this.onRevision(Number(result?.compact_revision ?? 0));
			this.#end(line.error?.message ?? result?.cancel_reason ?? 'the service cancelled the watch');
			return;
		}

		for (const event of result.events ?? []) {
			if (this.#isEnded) {
				return;
			}

			const entry = event.type === 'DELETE' ? undefined : etcdProtocol.toEntry(event.kv);
			this.listener.onChange({key: etcdProtocol.decodeBase64Text(event.kv.key), ...(entry && {entry})});
		}
	}

	#restartProgressTimer(): void {
		if (this.#isEnded) {
			return;
		}

		if (this.#progressTimer !== undefined) {
			this.#progressTimer.refresh();
			return;
		}

		this.#progressTimer = new timeouts.SilenceTimer(this.progressTimeoutMs, () => {
			this.#end('no data within the progress timeout');
		});
	}

	#end(reason: string): void {
		if (this.#isEnded) {
			return;
		}

		this.#stop(new Error(reason));
		this.listener.onEnd(reason);
	}

	#stop(reason: Error): void {
		this.#isEnded = true;
		this.#progressTimer?.clear();
		this.#abortController.abort(reason);
	}
}

function createWatchCall(target: EtcdWatchTarget): etcdTransport.EtcdCall {
	return {
		type: kvCallType.KvCallType.Watch,
		path: '/v3/watch',
		isWrite: false,
		body: {
			create_request: {
				key: etcdProtocol.encodeBase64(target.key),
				...(target.isPrefix && {range_end: etcdProtocol.encodePrefixEnd(target.key)}),
				start_revision: String(target.startRevision),
				progress_notify: true,
			},
		},
	};
}
