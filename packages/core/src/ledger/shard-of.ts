import xxhash from 'xxhash-wasm';
import type * as model from '../model/index.js';
import * as ledgerEntry from './ledger-entry.js';

const hasher = await xxhash();

/** Returns the shard of a key, from 0 to `shardCount - 1`. */
export function shardOf(account: model.AccountId, key: string, shardCount: number): number {
	return Number(hasher.h64(ledgerEntry.entryKey(account, key)) % BigInt(shardCount));
}

/**
 * Returns the router that normally writes a shard: the first by rendezvous hashing over the live members.
 * Routers may differ in their view; safety does not depend on it.
 */
export function writerOf(shard: number, members: readonly model.VmId[]): model.VmId | undefined {
	let best: {readonly vm: model.VmId; readonly score: bigint} | undefined;
	for (const vm of members) {
		const score = hasher.h64(`ledger/${shard}/${vm}`);
		if (best === undefined || score > best.score || (score === best.score && vm < best.vm)) {
			best = {vm, score};
		}
	}

	return best?.vm;
}

/** Returns a share in [0, 1) that is fixed by a text; spreads retries of routers. */
export function shareOf(text: string): number {
	return hasher.h32(text) / (2 ** 32);
}
