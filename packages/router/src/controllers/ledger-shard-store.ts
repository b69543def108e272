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
		const result = await this.#kv.get(this.#formatKey(shard));
		return core.util.matchEither(result, () => this.#recordFailure(callId), entry => this.#toSeenResult(callId, entry));
	}

	async swap(
		shard: number,
		callId: number,
		expectedRevision: number,
		value: core.ledger.LedgerShard,
	): Promise<core.ledger.ShardCallEnd> {
		this.#metrics.increment('ledger.kv.swap');
		const result = await this.#kv.compareAndSwap(this.#formatKey(shard), expectedRevision, ledgerShardCodec.encodeShard(value));
		return core.util.matchEither(result, err => this.#recordSwapFailure(callId, err), swap => swap.swapped
			? {result: core.ledger.ShardCallResult.Swapped, callId, revision: swap.revision}
			: this.#toSeenResult(callId, swap.current));
	}

	#formatKey(shard: number): string {
		return `${this.#keyPrefix}${shard}`;
	}

	#toSeenResult(callId: number, entry: clients.kv.KvEntry | undefined): core.ledger.ShardCallEnd {
		if (entry === undefined) {
			return {
				result: core.ledger.ShardCallResult.Seen, callId, shard: core.ledger.emptyShard, revision: 0,
			};
		}

		const {revision} = entry;
		return core.util.matchEither<string, core.ledger.LedgerShard, core.ledger.ShardCallEnd>(
			ledgerShardCodec.decodeShard(entry.value),
			() => this.#recordFailure(callId),
			shard => ({
				result: core.ledger.ShardCallResult.Seen, callId, shard, revision,
			}),
		);
	}

	#recordSwapFailure(callId: number, err: clients.kv.KvError): core.ledger.ShardCallEnd {
		if (err.code !== clients.kv.KvErrorCode.OutcomeUnknown) {
			return this.#recordFailure(callId);
		}

		this.#metrics.increment('ledger.kv.unknown');
		return {result: core.ledger.ShardCallResult.Unknown, callId};
	}

	#recordFailure(callId: number): core.ledger.ShardCallEnd {
		this.#metrics.increment('ledger.kv.failed');
		return {result: core.ledger.ShardCallResult.NoEffect, callId};
	}
}
