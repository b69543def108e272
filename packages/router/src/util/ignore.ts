/** Does nothing; for results and errors that do not matter. */
export function ignore(): void {
	// Nothing is to be done.
}
