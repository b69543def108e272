/** Thrown when the program finds one of its own invariants broken. */
export class InvariantError extends Error {
	constructor(
		/** Short stable name of the invariant, such as `ledger.single-dispatch`. */
		readonly invariant: string,
		detail: string,
	) {
		super(`invariant ${invariant} broken: ${detail}`);
		this.name = 'InvariantError';
	}
}

/**
 * Asserts an invariant inside the program.
 *
 * @param condition - What must hold.
 * @param name - Stable name of the invariant.
 * @param detail - Describes the state when the invariant is broken.
 * @throws InvariantError when `condition` is false.
 */
export function assertInvariant(condition: boolean, name: string, detail: () => string): asserts condition {
	if (!condition) {
		throw new InvariantError(name, detail());
	}
}
