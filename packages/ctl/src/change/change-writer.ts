import * as config from '@bluebellmast/config';
import type * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import * as purify from 'purify-ts';

/** Type of the result of a submitted change. */
export enum SubmitResultType {
	Accepted = 'accepted',
	/** The change is stale or invalid; nothing was changed. */
	Refused = 'refused',
	/** The attempts failed; the change was not accepted and will not be. */
	NotAccepted = 'not_accepted',
	/** It is not known whether the change was accepted; it may still be. */
	Unknown = 'unknown',
}

/** Result of a submitted change. */
export type SubmitResult = {
	readonly type: SubmitResultType;
	/** Text for the operator. */
	readonly message: string;
	/** Generation of an accepted change. */
	readonly generation?: core.model.Generation;
	/** Reason of a refusal. */
	readonly refusal?: config.manifest.ChangeRefusalCode;
	/** The last head that was read or written. */
	readonly head?: core.manifest.ManifestHead;
};

/** A change to submit. */
export type Change = {
	readonly changeId: string;
	/** Creates the proposal of the change, based on a head. */
	readonly propose: (
		head: core.manifest.ManifestHead | undefined,
		changeId: string,
	) => purify.Either<config.manifest.ChangeRefusal, config.manifest.ChangeProposal>;
	/** Whether the change is proposed again, on the new head, when another change was accepted first. */
	readonly rebasesOnConflict: boolean;
};

/** Options of `ChangeWriter`. */
export type ChangeWriterOptions = {
	readonly kv: clients.kv.KeyValueClient;
	readonly sleep: (durationMs: number) => Promise<void>;
	/** Maximum number of attempts; default 6. */
	readonly maxAttempts?: number;
	/** Delay after the first failed attempt in milliseconds; doubles with each. Default 50. */
	readonly initialBackoffMs?: number;
};

/** Result of one attempt; `undefined` when the change has to be attempted again. */
type AttemptResult = SubmitResult | undefined;

type HeadEntry = {
	readonly head: core.manifest.ManifestHead | undefined;
	readonly revision: number;
};

/**
 * Submits one change: writes its sections, then the head by compare-and-swap. When the response to the write of the head is
 * lost, the outcome is determined by reading the head and looking for the change id. The write can be repeated safely,
 * since it only takes effect on the revision that it expects.
 */
export class ChangeWriter {
	readonly #options: Required<ChangeWriterOptions>;
	readonly #change: Change;
	/** Base generation of a write of the head whose outcome is unknown. */
	#unresolvedBase: core.model.Generation | undefined;
	#head: core.manifest.ManifestHead | undefined;
	#lastError = '';

	constructor(options: ChangeWriterOptions, change: Change) {
		this.#options = {maxAttempts: 6, initialBackoffMs: 50, ...options};
		this.#change = change;
	}

	async submit(): Promise<SubmitResult> {
		let backoffMs = this.#options.initialBackoffMs;
		for (let attempt = 0; attempt < this.#options.maxAttempts; attempt += 1) {
			const result = await this.#attemptOnce(); // eslint-disable-line no-await-in-loop -- Attempts are sequential.
			if (result !== undefined) {
				return {...result, ...(this.#head && {head: this.#head})};
			}

			if (attempt < this.#options.maxAttempts - 1) {
				await this.#options.sleep(backoffMs); // eslint-disable-line no-await-in-loop
				backoffMs *= 2;
			}
		}

		return this.#exhaustedResult();
	}

	async #attemptOnce(): Promise<AttemptResult> {
		const entry = await this.#readHead();
		if (entry === undefined) {
			return undefined;
		}

		this.#head = entry.head;
		const resolved = this.#resolveOutcome(entry.head);
		if (resolved !== undefined) {
			return resolved;
		}

		const proposal = this.#change.propose(entry.head, this.#change.changeId);
		if (proposal.isLeft()) {
			const {code, message} = proposal.extract();
			return {type: SubmitResultType.Refused, refusal: code, message};
		}

		return this.#write(proposal.unsafeCoerce(), entry);
	}

	async #write(proposal: config.manifest.ChangeProposal, entry: HeadEntry): Promise<AttemptResult> {
		for (const section of proposal.newSections) {
			const written = await this.#writeSection(section); // eslint-disable-line no-await-in-loop -- Sequential, to avoid a burst of writes.
			if (!written) {
				return undefined;
			}
		}

		const bytes = config.manifest.encodeHead(proposal.head);
		const result = await this.#options.kv.compareAndSwap(config.manifest.headKey, entry.revision, bytes);
		if (result.isLeft()) {
			return this.#handleSwapError(result.extract(), entry.head);
		}

		if (!result.map(swap => swap.swapped).orDefault(false)) {
			this.#lastError = 'other changes were accepted first';
			return undefined;
		}

		this.#head = proposal.head;
		return this.#acceptedResult(proposal.head.generation);
	}

	/** Writes a section. One that exists already has the same content, since its key is its hash. */
	async #writeSection(section: config.manifest.Section): Promise<boolean> {
		const result = await this.#options.kv.compareAndSwap(config.manifest.sectionKey(section.hash), 0, section.bytes);
		result.ifLeft(err => {
			this.#lastError = err.message;
		});
		return result.isRight();
	}

	#handleSwapError(err: clients.kv.KvError, base: core.manifest.ManifestHead | undefined): AttemptResult {
		this.#lastError = err.message;
		if (err.code === clients.kv.KvErrorCode.ValueTooLarge) {
			return {type: SubmitResultType.Refused, refusal: config.manifest.ChangeRefusalCode.TooLarge, message: err.message};
		}

		if (err.code === clients.kv.KvErrorCode.OutcomeUnknown) {
			this.#unresolvedBase = base?.generation ?? 0;
		}

		return undefined;
	}

	/** Determines whether this change was accepted already, or another one in its place. */
	#resolveOutcome(head: core.manifest.ManifestHead | undefined): AttemptResult {
		const base = this.#unresolvedBase ?? head?.generation ?? 0;
		const outcome = config.manifest.resolveChangeOutcome(head, this.#change.changeId, base);
		switch (outcome.type) {
			case config.manifest.ChangeOutcomeType.Accepted: {
				return this.#acceptedResult(outcome.generation ?? 0);
			}

			case config.manifest.ChangeOutcomeType.Superseded: {
				this.#unresolvedBase = undefined;
				return this.#change.rebasesOnConflict ? undefined : this.#supersededResult(head);
			}

			case config.manifest.ChangeOutcomeType.NoLongerRecorded: {
				return {type: SubmitResultType.Unknown, message: 'it is not known whether the change was accepted: too many changes were accepted since'};
			}

			case config.manifest.ChangeOutcomeType.Pending: {
				return undefined;
			}
		}
	}

	async #readHead(): Promise<HeadEntry | undefined> {
		const result = await this.#options.kv.get(config.manifest.headKey);
		return result
			.mapLeft(err => err.message)
			.chain(entry => decodeHeadEntry(entry))
			.ifLeft(message => {
				this.#lastError = message;
			})
			.toMaybe()
			.extract();
	}

	#acceptedResult(generation: core.model.Generation): SubmitResult {
		return {type: SubmitResultType.Accepted, generation, message: `accepted as generation ${generation}`};
	}

	#supersededResult(head: core.manifest.ManifestHead | undefined): SubmitResult {
		return {
			type: SubmitResultType.Refused,
			refusal: config.manifest.ChangeRefusalCode.Stale,
			message: `another change was accepted first: generation ${head?.generation} by change ${head?.changeId} is active`,
		};
	}

	#exhaustedResult(): SubmitResult {
		const head = this.#head && {head: this.#head};
		return this.#unresolvedBase === undefined
			? {type: SubmitResultType.NotAccepted, message: `NOT accepted: ${this.#lastError}`, ...head}
			: {type: SubmitResultType.Unknown, message: `it is not known whether the change was accepted: ${this.#lastError}`, ...head};
	}
}

function decodeHeadEntry(entry: clients.kv.KvEntry | undefined): purify.Either<string, HeadEntry> {
	return entry === undefined
		? purify.Right({head: undefined, revision: 0})
		: config.manifest.decodeHead(entry.value).map(head => ({head, revision: entry.revision}));
}
