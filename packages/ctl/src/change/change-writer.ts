import * as config from '@bluebellmast/config';
import type * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import * as purify from 'purify-ts';

/** How the submission of a change ended. */
export enum SubmitResultType {
	Accepted = 'accepted',
	/** Nothing was changed. */
	Refused = 'refused',
	/** The key-value service was not reached; the change was not accepted and will not be. */
	NotAccepted = 'not_accepted',
	/** The change may have been accepted, or may yet be. */
	Unknown = 'unknown',
}

/** Result of a submission. */
export type SubmitResult = {
	readonly type: SubmitResultType;
	readonly message: string;
	/** Generation of an accepted change. */
	readonly generation?: core.model.Generation;
	readonly refusal?: config.manifest.ChangeRefusalCode;
	/** Latest head that was read. */
	readonly head?: core.manifest.ManifestHead;
};

/** A change to submit. */
export type Change = {
	readonly changeId: string;
	/** Proposes the change on top of a head, under its change id. */
	readonly propose: (
		head: core.manifest.ManifestHead | undefined,
		changeId: string,
	) => purify.Either<config.manifest.ChangeRefusal, config.manifest.ChangeProposal>;
	/** Whether it is proposed anew when another change comes first. */
	readonly rebasesOnConflict: boolean;
};

/** Options of the writer. */
export type ChangeWriterOptions = {
	readonly kv: clients.kv.KeyValueClient;
	readonly sleep: (durationMs: number) => Promise<void>;
	/** Default 6. */
	readonly maxAttempts?: number;
	/** Pause after the first failed try; it doubles. Default 50. */
	readonly initialBackoffMs?: number;
};

/** Result of one try; absent when another is to be made. */
type AttemptResult = SubmitResult | undefined;

type HeadEntry = {
	readonly head: core.manifest.ManifestHead | undefined;
	readonly revision: number;
};

/**
 * Submits one change: writes its sections, then swaps the head. A lost answer is resolved by reading back the change id;
 * the same write may be sent again, since it names the revision that it replaces.
 */
export class ChangeWriter {
	readonly #options: Required<ChangeWriterOptions>;
	readonly #change: Change;
	/** Generation on which a write stands whose answer was lost. */
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
			const result = await this.#attemptOnce(); // eslint-disable-line no-await-in-loop -- Tries follow each other.
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
			const written = await this.#writeSection(section); // eslint-disable-line no-await-in-loop -- Spares the service a burst.
			if (!written) {
				return undefined;
			}
		}

		const bytes = config.manifest.encodeHead(proposal.head);
		const answer = await this.#options.kv.compareAndSwap(config.manifest.headKey, entry.revision, bytes);
		if (answer.isLeft()) {
			return this.#handleSwapError(answer.extract(), entry.head);
		}

		if (!answer.map(swap => swap.swapped).orDefault(false)) {
			this.#lastError = 'other changes came first';
			return undefined;
		}

		this.#head = proposal.head;
		return this.#acceptedResult(proposal.head.generation);
	}

	/** A section that is there already is the same, since its key is its hash. */
	async #writeSection(section: config.manifest.Section): Promise<boolean> {
		const answer = await this.#options.kv.compareAndSwap(config.manifest.sectionKey(section.hash), 0, section.bytes);
		answer.ifLeft(err => {
			this.#lastError = err.message;
		});
		return answer.isRight();
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

	/** Finds out whether this change stands already, or another took its place. */
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
				return {type: SubmitResultType.Unknown, message: 'so many changes came since that the head no longer tells'};
			}

			case config.manifest.ChangeOutcomeType.Pending: {
				return undefined;
			}
		}
	}

	async #readHead(): Promise<HeadEntry | undefined> {
		const answer = await this.#options.kv.get(config.manifest.headKey);
		return answer
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
			message: `another change won: generation ${head?.generation} by change ${head?.changeId} is in force`,
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
