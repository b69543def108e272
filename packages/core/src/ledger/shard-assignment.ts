import type * as model from '../model/index.js';
import * as util from '../util/index.js';
import * as ledgerEntry from './ledger-entry.js';

/** Returns the shard of a key, from 0 to `shardCount - 1`. */
export function getShardIndex(account: model.AccountId, key: string, shardCount: number): number {
	return Number(util.hash64(ledgerEntry.formatEntryKey(account, key)) % BigInt(shardCount));
}

/**
 * Returns the router that normally writes a shard: the first by rendezvous hashing over the live members.
 * Routers may differ in their view; safety does not depend on it.
 */
export function selectShardWriter(shard: number, members: readonly model.VmId[]): model.VmId | undefined {
	return util.selectByRendezvous(`ledger/${shard}`, members);
}

/** Returns a share in [0, 1) that is fixed by a text; spreads retries of routers. */
export function hashToFraction(text: string): number {
	return util.hash32(text) / (2 ** 32);
}
