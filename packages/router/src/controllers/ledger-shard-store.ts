import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import type * as metrics from '../util/metrics.js';
import * as ledgerShardCodec from './ledger-shard-codec.js';

/** Reads and writes the ledger's shards in the key-value service. */
export class LedgerShardStore {
	readonly #kv: clients.kv.KeyValueClient;
	readonly #keyPrefix: string;
	readonly #metrics: metrics.Metrics;

	constructor(kv: clients.kv.KeyValueClient, keyPrefix: string, counters: metrics.Metrics) {
		this.#kv = kv;
		this.#keyPrefix = keyPrefix;
		this.#metrics = counters;
	}

	async read(shard: number, callId: number): Promise<core.ledger.ShardCallEnd> {
		this.#metrics.increment('ledger.kv.read');
		const result = await this.#kv.get(this.#keyOf(shard));
		return core.util.matchEither(result, () => this.#fail(callId), entry => this.#seen(callId, entry));
	}

	async swap(
		shard: number,
		callId: number,
		expectedRevision: number,
		value: core.ledger.LedgerShard,
	): Promise<core.ledger.ShardCallEnd> {
		this.#metrics.increment('ledger.kv.swap');
		const result = await this.#kv.compareAndSwap(this.#keyOf(shard), expectedRevision, ledgerShardCodec.encodeShard(value));
		return core.util.matchEither(result, err => this.#failSwap(callId, err), swap => swap.swapped
			? {result: core.ledger.ShardCallResult.Swapped, callId, revision: swap.revision}
			: this.#seen(callId, swap.current));
	}

	#keyOf(shard: number): string {
		return `${this.#keyPrefix}${shard}`;
	}

	#seen(callId: number, entry: clients.kv.KvEntry | undefined): core.ledger.ShardCallEnd {
		if (entry === undefined) {
			return {
				result: core.ledger.ShardCallResult.Seen, callId, shard: core.ledger.emptyShard, revision: 0,
			};
		}

		const {revision} = entry;
		return core.util.matchEither<string, core.ledger.LedgerShard, core.ledger.ShardCallEnd>(
			ledgerShardCodec.decodeShard(entry.value),
			() => this.#fail(callId),
			shard => ({
				result: core.ledger.ShardCallResult.Seen, callId, shard, revision,
			}),
		);
	}

	#failSwap(callId: number, err: clients.kv.KvError): core.ledger.ShardCallEnd {
		if (err.code !== clients.kv.KvErrorCode.OutcomeUnknown) {
			return this.#fail(callId);
		}

		this.#metrics.increment('ledger.kv.unknown');
		return {result: core.ledger.ShardCallResult.Unknown, callId};
	}

	#fail(callId: number): core.ledger.ShardCallEnd {
		this.#metrics.increment('ledger.kv.failed');
		return {result: core.ledger.ShardCallResult.NoEffect, callId};
	}
}
