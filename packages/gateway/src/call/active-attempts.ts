import * as endpoints from '../endpoints/index.js';
import type * as sentAttempt from './sent-attempt.js';

/** Options of {@link ActiveAttempts}. */
export type ActiveAttemptsOptions = {
	/** Whether an attempt that has ended delivered a complete response. */
	readonly isComplete: (sent: sentAttempt.SentAttempt) => boolean;
	/** Called when an attempt becomes the current one. */
	readonly onCurrent: (sent: sentAttempt.SentAttempt) => void;
	/** Called when an attempt has ended without a complete response while another one is in progress. */
	readonly onFailed: (sent: sentAttempt.SentAttempt) => void;
};

/**
 * The attempts of a request that are in progress: the current one and, while that one is silent, a replacement. The current attempt is given up
 * only when the response of the replacement begins, since a silent endpoint may go on and the replacement may fail.
 */
export class ActiveAttempts {
	#current: sentAttempt.SentAttempt | undefined;
	#replacement: sentAttempt.SentAttempt | undefined;

	constructor(private readonly options: ActiveAttemptsOptions) {}

	/** The attempt whose response is relayed, or will be; absent while none is in progress. */
	get current(): sentAttempt.SentAttempt | undefined {
		return this.#current?.end === undefined ? this.#current : undefined;
	}

	/** The replacement for the current attempt; absent while there is none. */
	get replacement(): sentAttempt.SentAttempt | undefined {
		return this.#replacement;
	}

	/** The attempts in progress. */
	list(): sentAttempt.SentAttempt[] {
		return [this.#current, this.#replacement].filter(sent => sent !== undefined && sent.end === undefined) as sentAttempt.SentAttempt[];
	}

	/** Waits until an attempt has ended, or the last one of those that have replaced it. @returns The attempt that ended last. */
	async run(first: sentAttempt.SentAttempt): Promise<sentAttempt.SentAttempt> {
		this.#setCurrent(first);
		for (let sent = first; ; sent = this.#current!) {
			await sent.ended; // eslint-disable-line no-await-in-loop -- Attempts replace one another.
			if (sent !== this.#current) {
				continue;
			}

			if (this.#replacement === undefined || this.options.isComplete(sent)) {
				this.cancelReplacement();
				return sent;
			}

			this.options.onFailed(sent);
			this.#promoteReplacement();
		}
	}

	/** Adds a replacement for the current attempt; an earlier one, which is silent as well, is ended. */
	addReplacement(sent: sentAttempt.SentAttempt): void {
		const previous = this.#replacement;
		this.#replacement = sent;
		previous?.attempt.abort(endpoints.AttemptFault.EndpointSilent);
		void this.#awaitReplacement(sent);
	}

	/** Ends the replacement, as the current attempt makes progress. */
	cancelReplacement(): void {
		this.#replacement?.attempt.abort(endpoints.AttemptFault.Superseded);
		this.#replacement = undefined;
	}

	/** Makes an attempt the current one, as its response begins; the one that it replaces is ended. */
	promote(sent: sentAttempt.SentAttempt): void {
		if (sent === this.#replacement) {
			this.#current?.attempt.abort(endpoints.AttemptFault.EndpointSilent);
			this.#promoteReplacement();
		}
	}

	/** Ends all attempts in progress. */
	abort(fault: endpoints.AttemptFault): void {
		for (const sent of this.list()) {
			sent.attempt.abort(fault);
		}
	}

	async #awaitReplacement(sent: sentAttempt.SentAttempt): Promise<void> {
		await sent.ended;
		if (sent === this.#replacement) {
			this.#replacement = undefined;
			this.options.onFailed(sent);
		}
	}

	#promoteReplacement(): void {
		const sent = this.#replacement!;
		this.#replacement = undefined;
		this.#setCurrent(sent);
	}

	#setCurrent(sent: sentAttempt.SentAttempt): void {
		this.#current = sent;
		this.options.onCurrent(sent);
	}
}
