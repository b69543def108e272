import * as purify from 'purify-ts';

/** Kinds of overrides. */
export enum OperatorAction {
	/** Requests with the part are refused. */
	Add = 'add',
	/** The evidence on the part so far is void, as is an earlier override by which it was added. */
	Lift = 'lift',
}

/** An operator's override on a prompt part. Times are in milliseconds since the Unix epoch. */
export type OperatorOverride = {
	readonly part: string;
	readonly action: OperatorAction;
	/** When it was given; the later one of two overrides on a part holds. */
	readonly at: number;
	/** When it ends. */
	readonly until: number;
	/** Name of the operator. */
	readonly by: string;
	readonly reason: string;
};

/** What an operator asks for. */
export type OperatorOrder = Pick<OperatorOverride, 'part' | 'action' | 'by' | 'reason'> & {
	/** Time for which the override holds, in milliseconds. */
	readonly lifetimeMs: number;
};

/** Largest number of overrides in force at a time, so that they fit into one value of the store: about 9 KB. */
export const maxOperatorOverrides = 32;
/** Longest time for which an override holds, in milliseconds. */
export const maxOverrideLifetimeMs = 86_400_000;
/** Time for which a lift is kept, in milliseconds: longer than the evidence that it voids. */
export const liftLifetimeMs = 600_000;
/** Largest lengths of the texts of an override. */
export const maxPartLength = 64;
export const maxOperatorLength = 40;
export const maxReasonLength = 120;

/**
 * Returns the overrides that hold after an order. A lift lasts as long as the override that it replaces would have, so that this one isn't in force
 * again if the store returns from a copy.
 *
 * @param overrides - The overrides that the store holds; those that have ended are left out of the result.
 */
export function applyOperatorOrder(overrides: readonly OperatorOverride[], order: OperatorOrder, now: number): purify.Either<string, readonly OperatorOverride[]> {
	const inForce = overrides.filter(override => override.until > now);
	const replaced = inForce.find(override => override.part === order.part);
	const others = inForce.filter(override => override !== replaced);
	if (others.length >= maxOperatorOverrides) {
		return purify.Left(`${maxOperatorOverrides} overrides are in force, the largest number; lift a part that was added, or wait until one ends`);
	}

	const {lifetimeMs, ...given} = order;
	const at = Math.max(now, ...overrides.map(override => override.at + 1));
	const until = at + Math.min(lifetimeMs, maxOverrideLifetimeMs);
	return purify.Right([...others, {
		...given, at, until: order.action === OperatorAction.Lift ? Math.max(until, replaced?.until ?? 0) : until,
	}]);
}
