/** Does nothing; for results and errors that do not matter. */
export function noop(): void {
	// Nothing is to be done.
}
