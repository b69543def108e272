import type * as ids from '../model/ids.js';
import * as hash from '../util/hash.js';

/** Limits on the number of neighbours of a router. */
export type NeighbourLimits = {
	/** Number of other members up to which all routers are neighbours of each other. */
	readonly fullMeshLimit: number;
	/** Number of rings in a larger fleet; each ring gives two neighbours. */
	readonly ringCount: number;
};

function compareBy(positions: ReadonlyMap<ids.VmId, number>): (a: ids.VmId, b: ids.VmId) => number {
	return (a, b) => positions.get(a)! - positions.get(b)! || (a < b ? -1 : 1);
}

/** Returns the predecessor and successor of `self` on a ring, which orders members by their hash seeded with the ring number. */
function neighboursOnRing(self: ids.VmId, vms: readonly ids.VmId[], ring: number): ids.VmId[] {
	const positions = new Map(vms.map(vm => [vm, hash.hash32(vm, ring)]));
	const compare = compareBy(positions);
	let previous: ids.VmId | undefined;
	let next: ids.VmId | undefined;
	let first: ids.VmId | undefined;
	let last: ids.VmId | undefined;
	for (const vm of vms) {
		if (vm === self) {
			continue;
		}

		const after = compare(vm, self) > 0;
		if (after && (next === undefined || compare(vm, next) < 0)) {
			next = vm;
		}

		if (!after && (previous === undefined || compare(vm, previous) > 0)) {
			previous = vm;
		}

		first = first === undefined || compare(vm, first) < 0 ? vm : first;
		last = last === undefined || compare(vm, last) > 0 ? vm : last;
	}

	return [previous ?? last, next ?? first].filter(vm => vm !== undefined);
}

/**
 * Returns the neighbours of a router: all others in a small fleet, otherwise the adjacent members on several rings.
 * The relation is symmetric between routers that know the same members, and spreads the neighbours evenly.
 */
export function chooseNeighbours(self: ids.VmId, vms: readonly ids.VmId[], limits: NeighbourLimits): ids.VmId[] {
	const all = vms.includes(self) ? vms : [...vms, self];
	if (all.length - 1 <= limits.fullMeshLimit) {
		return all.filter(vm => vm !== self).sort();
	}

	const chosen = new Set<ids.VmId>();
	for (let ring = 0; ring < limits.ringCount; ring++) {
		for (const vm of neighboursOnRing(self, all, ring)) {
			chosen.add(vm);
		}
	}

	return [...chosen].sort();
}
