import * as util from '../util/index.js';

/**
 * Number of partitions of the accounts in small and in large fleets, which is the largest number of keepers: each costs all VMs the renewal of their loans, and
 * shares the requests of all VMs with the others.
 */
const smallFleetPartitions = 4;
const largeFleetPartitions = 16;
const maxSmallFleetVms = 100;

/** Number above the ids of all partitions. */
export const partitionIdLimit = 2 * largeFleetPartitions;

function countPartitions(vmCount: number): number {
	return vmCount <= maxSmallFleetVms ? smallFleetPartitions : largeFleetPartitions;
}

/** Returns the id of an account's partition. Ids of small and of large fleets differ, so that VMs that count different numbers of members never take one for the other. */
export function getPartition(account: string, vmCount: number): number {
	const count = countPartitions(vmCount);
	return count + (util.hash32(account) % count);
}

/**
 * Returns the VMs in the order in which they keep a partition, by the partition's id.
 *
 * @param vms - All VMs.
 */
export function rankKeepers(vms: readonly string[]): ReadonlyMap<number, readonly string[]> {
	const count = countPartitions(vms.length);
	return new Map(Array.from({length: count}, (_, index) => [count + index, util.rankByRendezvous(`quota/${count + index}`, vms)]));
}
