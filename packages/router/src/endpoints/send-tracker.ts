import type * as buffer from 'node:buffer';
import type * as undici from 'undici';

/** Detects when a request is written to a connected socket; from then on the endpoint may have received it. */
export class SendTracker {
	readonly #onSend: () => void;
	#hasStartedSending = false;

	/** @param onSend - Called once, before the first byte is written. */
	constructor(onSend: () => void) {
		this.#onSend = onSend;
	}

	/** Whether any byte of the request may have been sent. */
	get hasStartedSending(): boolean {
		return this.#hasStartedSending;
	}

	/** Wraps a dispatcher so that this tracker is notified when a request is written to a socket. */
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

/** Forwards all calls to another handler and reports when the request starts. */
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
