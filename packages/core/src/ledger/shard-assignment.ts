import type * as model from '../model/index.js';
import * as util from '../util/index.js';
import * as ledgerEntry from './ledger-entry.js';

/** Returns the index of the shard that holds a key, from 0 to `shardCount - 1`. */
export function getShardIndex(account: model.AccountId, key: string, shardCount: number): number {
	return Number(util.hash64(ledgerEntry.formatEntryKey(account, key)) % BigInt(shardCount));
}

/**
 * Returns the router that normally writes a shard, chosen by rendezvous hashing over the live members; `undefined`
 * without members. Routers may know different members and choose different writers; safety does not depend on it.
 */
export function selectShardWriter(shard: number, members: readonly model.VmId[]): model.VmId | undefined {
	return util.selectByRendezvous(`ledger/${shard}`, members);
}

/** Hashes a string to a fraction in [0, 1); used as deterministic jitter, so that routers do not retry at the same time. */
export function hashToFraction(text: string): number {
	return util.hash32(text) / (2 ** 32);
}
