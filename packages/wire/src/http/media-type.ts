/** Media types of HTTP bodies. */
export enum MediaType {
	Json = 'application/json',
	EventStream = 'text/event-stream',
}
