import * as util from '../util/index.js';

/** Number of partitions of the accounts: bounds the loans of a VM, and spreads the accounts over as many keepers. */
export const partitionCount = 16;

/** Returns the partition of an account. */
export function getPartition(account: string): number {
	return util.hash32(account) % partitionCount;
}

/**
 * Returns the VMs in the order in which they keep a partition, for all partitions.
 *
 * @param vms - All VMs.
 */
export function rankKeepers(vms: readonly string[]): ReadonlyArray<readonly string[]> {
	return Array.from({length: partitionCount}, (_, partition) => util.rankByRendezvous(`quota/${partition}`, vms));
}
