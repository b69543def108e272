/** Media types in use. */
export enum MediaType {
	Json = 'application/json',
	EventStream = 'text/event-stream',
}
