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
 * The attempts of a request that are in progress: the current one and, while that one is silent, its replacements. Attempts are given up
 * only when another one delivers, since a silent endpoint may go on and a replacement may fail.
 */
export class ActiveAttempts {
	#current: sentAttempt.SentAttempt | undefined;
	/** In the order in which they were sent. */
	#replacements: readonly sentAttempt.SentAttempt[] = [];

	constructor(private readonly options: ActiveAttemptsOptions) {}

	/** The attempt whose response is relayed, or will be; absent while none is in progress. */
	get current(): sentAttempt.SentAttempt | undefined {
		return this.#current?.end === undefined ? this.#current : undefined;
	}

	/** The attempt that was sent last. */
	get latest(): sentAttempt.SentAttempt | undefined {
		return this.#replacements.at(-1) ?? this.#current;
	}

	/** The attempts in progress. */
	list(): sentAttempt.SentAttempt[] {
		return [this.#current, ...this.#replacements].filter(sent => sent !== undefined && sent.end === undefined) as sentAttempt.SentAttempt[];
	}

	/** Waits until an attempt has ended, or the last one of those that have replaced it. @returns The attempt that ended last. */
	async run(first: sentAttempt.SentAttempt): Promise<sentAttempt.SentAttempt> {
		this.#setCurrent(first);
		for (let sent = first; ; sent = this.#current!) {
			await sent.ended; // eslint-disable-line no-await-in-loop -- Attempts replace one another.
			if (sent !== this.#current) {
				continue;
			}

			if (this.#replacements.length === 0 || this.options.isComplete(sent)) {
				this.cancelReplacements();
				return sent;
			}

			this.options.onFailed(sent);
			this.#makeCurrent(this.#replacements.at(-1)!);
		}
	}

	/** Adds a replacement for the attempts in progress, which are silent. */
	addReplacement(sent: sentAttempt.SentAttempt): void {
		this.#replacements = [...this.#replacements, sent];
		void this.#awaitReplacement(sent);
	}

	/** Ends the replacements, as the current attempt makes progress. */
	cancelReplacements(): void {
		const replacements = this.#replacements;
		this.#replacements = [];
		for (const {attempt} of replacements) {
			attempt.abort(endpoints.AttemptFault.Superseded);
		}
	}

	/** Makes an attempt the only one, as it delivers; the others are ended. */
	promote(sent: sentAttempt.SentAttempt): void {
		if (sent === this.#current) {
			this.cancelReplacements();
			return;
		}

		if (!this.#replacements.includes(sent)) {
			return;
		}

		const others = this.list().filter(other => other !== sent);
		this.#replacements = [];
		this.#setCurrent(sent);
		for (const {attempt, held} of others) {
			attempt.abort(held === undefined ? endpoints.AttemptFault.EndpointSilent : endpoints.AttemptFault.Superseded);
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
		if (!this.#replacements.includes(sent)) {
			return;
		}

		if (this.options.isComplete(sent)) {
			this.promote(sent);
			return;
		}

		this.#replacements = this.#replacements.filter(other => other !== sent);
		this.options.onFailed(sent);
	}

	#makeCurrent(sent: sentAttempt.SentAttempt): void {
		this.#replacements = this.#replacements.filter(other => other !== sent);
		this.#setCurrent(sent);
	}

	#setCurrent(sent: sentAttempt.SentAttempt): void {
		this.#current = sent;
		this.options.onCurrent(sent);
	}
}
