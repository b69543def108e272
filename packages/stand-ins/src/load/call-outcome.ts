import * as core from '@bluebellmast/core';

/** How a request ended for its caller. */
export enum Outcome {
	/** The whole right answer came. */
	Answered = 'answered',
	/** Refused; nothing was carried out. */
	RefusedNotRun = 'refused_not_run',
	/** Refused; it may have been carried out. */
	RefusedUnknown = 'refused_unknown',
	/** Refused; it was carried out. */
	RefusedDone = 'refused_done',
	/** A stream ended with a typed error after its first token. */
	Interrupted = 'interrupted',
	/** The connection failed without an answer. */
	Lost = 'lost',
	/** The answer was another than expected, cut or out of order. */
	Wrong = 'wrong',
}

/** What a caller saw of one request. */
export type CallOutcome = {
	readonly outcome: Outcome;
	/** Error code of a refusal. */
	readonly code?: string;
	/** What was wrong or lost. */
	readonly detail?: string;
	/** Tokens of the prompt and those that came from the cache, from a stream's usage. */
	readonly promptTokens?: number;
	readonly cachedTokens?: number;
};

const outcomeByExecution: Readonly<Record<core.model.ExecutionState, Outcome>> = {
	[core.model.ExecutionState.NotRun]: Outcome.RefusedNotRun,
	[core.model.ExecutionState.Unknown]: Outcome.RefusedUnknown,
	[core.model.ExecutionState.Done]: Outcome.RefusedDone,
};

/** Returns the outcome that a refusal's JSON text tells of; a text that is no refusal is a wrong answer. */
export function createRefusalOutcome(status: number, text: string): CallOutcome {
	const refusal = parseRefusal(text);
	const outcome = refusal && outcomeByExecution[refusal.execution];
	if (!outcome) {
		return {outcome: Outcome.Wrong, detail: `status ${status}: ${text.slice(0, 200)}`};
	}

	return {outcome, code: refusal.code, detail: refusal.message};
}

function parseRefusal(text: string): core.model.Refusal | undefined {
	try {
		return (JSON.parse(text) as {error?: core.model.Refusal}).error;
	} catch {
		return undefined;
	}
}
