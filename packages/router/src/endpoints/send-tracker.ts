import type * as buffer from 'node:buffer';
import type * as undici from 'undici';

/** Tells when a request goes to a connected socket, so that from then on its endpoint may have got it. */
export class SendTracker {
	readonly #onSend: () => void;
	#hasStartedSending = false;

	/** @param onSend - Called once, before the first byte is written. */
	constructor(onSend: () => void) {
		this.#onSend = onSend;
	}

	/** Whether any byte of the request may have left. */
	get hasStartedSending(): boolean {
		return this.#hasStartedSending;
	}

	/** Wraps a dispatcher so that this tracker sees when the request goes to a socket. */
	track(dispatcher: undici.Dispatcher): undici.Dispatcher {
		return dispatcher.compose(dispatch => (options, handler) => dispatch(options, new TrackingHandler(handler, () => {
			this.#recordSendStart();
		})));
	}

	#recordSendStart(): void {
		if (!this.#hasStartedSending) {
			this.#hasStartedSending = true;
			this.#onSend();
		}
	}
}

/** Passes everything on, and reports the start of sending. */
class TrackingHandler implements undici.Dispatcher.DispatchHandler {
	readonly #inner: undici.Dispatcher.DispatchHandler;
	readonly #onSend: () => void;

	constructor(inner: undici.Dispatcher.DispatchHandler, onSend: () => void) {
		this.#inner = inner;
		this.#onSend = onSend;
	}

	onRequestStart(controller: undici.Dispatcher.DispatchController, context: unknown): void {
		this.#onSend();
		this.#inner.onRequestStart?.(controller, context);
	}

	onResponseStart(
		controller: undici.Dispatcher.DispatchController,
		statusCode: number,
		headers: Record<string, string | string[]>,
		statusMessage?: string,
	): void {
		this.#inner.onResponseStart?.(controller, statusCode, headers, statusMessage);
	}

	onResponseData(controller: undici.Dispatcher.DispatchController, chunk: buffer.Buffer): void {
		this.#inner.onResponseData?.(controller, chunk);
	}

	onResponseEnd(controller: undici.Dispatcher.DispatchController, trailers: Record<string, string | string[]>): void {
		this.#inner.onResponseEnd?.(controller, trailers);
	}

	onResponseError(controller: undici.Dispatcher.DispatchController, err: Error): void {
		this.#inner.onResponseError?.(controller, err);
	}
}
