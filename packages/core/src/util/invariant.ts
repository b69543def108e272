/** Thrown when an internal invariant is violated. */
export class InvariantError extends Error {
	constructor(
		/** Short stable name of the invariant, such as `request.single-dispatch`. */
		readonly invariant: string,
		detail: string,
	) {
		// The soak test searches the logs for `invariant <name> broken`, so this text must not change.
		super(`invariant ${invariant} broken: ${detail}`);
		this.name = 'InvariantError';
	}
}

/**
 * Asserts an internal invariant.
 *
 * @param condition - The condition that must hold.
 * @param name - Short stable name of the invariant.
 * @param detail - Returns a description of the state; called only when the invariant is violated.
 * @throws InvariantError when `condition` is false.
 */
export function assertInvariant(condition: boolean, name: string, detail: () => string): asserts condition {
	if (!condition) {
		throw new InvariantError(name, detail());
	}
}
