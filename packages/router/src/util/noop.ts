/** Does nothing; callback for results and errors that are ignored. */
export function noop(): void {
	// Intentionally empty.
}
