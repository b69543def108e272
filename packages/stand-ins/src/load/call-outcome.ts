import * as core from '@bluebellmast/core';

/** How a request ended, as its caller saw it. */
export enum Outcome {
	/** The complete expected answer was received. */
	Answered = 'answered',
	/** Refused; the request was not executed. */
	RefusedNotRun = 'refused_not_run',
	/** Refused; the request may have been executed. */
	RefusedUnknown = 'refused_unknown',
	/** Refused; the request was executed. */
	RefusedDone = 'refused_done',
	/** A stream ended with a typed error after its first token. */
	Interrupted = 'interrupted',
	/** The connection failed before a complete response arrived. */
	Lost = 'lost',
	/** The answer differed from the expected one: wrong, truncated or out of order. */
	Wrong = 'wrong',
}

/** Outcome of one request with its details. */
export type CallOutcome = {
	readonly outcome: Outcome;
	/** Error code of a refusal. */
	readonly code?: string;
	/** Description of the failure. */
	readonly detail?: string;
	/** Prompt tokens, and those of them that were cached, as the response's `usage` reports them. */
	readonly promptTokens?: number;
	readonly cachedTokens?: number;
};

const outcomeByExecution: Readonly<Record<core.model.ExecutionState, Outcome>> = {
	[core.model.ExecutionState.NotRun]: Outcome.RefusedNotRun,
	[core.model.ExecutionState.Unknown]: Outcome.RefusedUnknown,
	[core.model.ExecutionState.Done]: Outcome.RefusedDone,
};

/** Parses the JSON text of a refusal into an outcome; a text that is not a refusal gives `Wrong`. */
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
