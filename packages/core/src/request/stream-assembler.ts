import type * as model from '../model/index.js';
import * as util from '../util/index.js';

/** An event of an engine's response stream. */
export type StreamChunk = {
	readonly attemptId: model.AttemptId;
	readonly incarnation: model.Incarnation;
	/** Index of the event in the attempt's stream, from 0. */
	readonly eventId: number;
	readonly text: string;
};

/** Relation of a stream event to the events delivered before. */
export enum ChunkVerdict {
	/** The next event; its text is to be delivered. */
	Deliver = 'deliver',
	/** Already delivered. */
	Duplicate = 'duplicate',
	/** Earlier events are missing; the stream is to be resumed after the last event. */
	Gap = 'gap',
	/** Belongs to another attempt; the connection is to be closed. */
	WrongAttempt = 'wrong_attempt',
	/** Sent by another incarnation of the engine; the connection is to be closed. */
	WrongIncarnation = 'wrong_incarnation',
	/** The response was already complete. */
	AfterEnd = 'after_end',
}

/** The part of a streamed response that was delivered to a caller. */
export type AssembledStream = {
	readonly attemptId: model.AttemptId;
	/** Incarnation of the engine that serves the attempt; known after its first event or response header. */
	readonly incarnation?: model.Incarnation;
	/** Index of the attempt's last delivered event; -1 before the first event. */
	readonly lastEventId: number;
	/** Index of the next event sent to the caller; increases across all attempts. */
	readonly nextCallerEventId: number;
	/** Text that the caller has received since the last restart. */
	readonly text: string;
	readonly isEnded: boolean;
};

/** Result of {@link acceptChunk}. */
export type AcceptedChunk = {
	readonly verdict: ChunkVerdict;
	readonly stream: AssembledStream;
};

/** Creates an empty stream for the first attempt. */
export function createStream(attemptId: model.AttemptId): AssembledStream {
	return {
		attemptId, lastEventId: -1, nextCallerEventId: 0, text: '', isEnded: false,
	};
}

function classifyChunk(stream: AssembledStream, chunk: StreamChunk): ChunkVerdict {
	if (chunk.attemptId !== stream.attemptId) {
		return ChunkVerdict.WrongAttempt;
	}

	if (stream.incarnation !== undefined && chunk.incarnation !== stream.incarnation) {
		return ChunkVerdict.WrongIncarnation;
	}

	if (chunk.eventId <= stream.lastEventId) {
		return ChunkVerdict.Duplicate;
	}

	if (stream.isEnded) {
		return ChunkVerdict.AfterEnd;
	}

	return chunk.eventId === stream.lastEventId + 1 ? ChunkVerdict.Deliver : ChunkVerdict.Gap;
}

/** Applies an event to a stream. The caller must deliver its text only when the verdict is `deliver`. */
export function acceptChunk(stream: AssembledStream, chunk: StreamChunk): AcceptedChunk {
	const verdict = classifyChunk(stream, chunk);
	if (verdict !== ChunkVerdict.Deliver) {
		return {verdict, stream};
	}

	const next = {
		...stream,
		incarnation: chunk.incarnation,
		lastEventId: chunk.eventId,
		nextCallerEventId: stream.nextCallerEventId + 1,
		text: stream.text + chunk.text,
	};
	return {verdict, stream: next};
}

/** Returns whether a response belongs to the stream: it has the same attempt and, once known, the same incarnation. */
export function matchesStream(
	stream: AssembledStream,
	attemptId: model.AttemptId,
	incarnation: model.Incarnation,
): boolean {
	return attemptId === stream.attemptId && (stream.incarnation === undefined || stream.incarnation === incarnation);
}

/**
 * Continues the delivered text with another attempt, whose events are numbered from 0.
 *
 * @throws InvariantError when the stream has ended or the attempt is not a new one.
 */
export function continueStream(stream: AssembledStream, attemptId: model.AttemptId): AssembledStream {
	util.assertInvariant(!stream.isEnded, 'stream.nothing-after-end', () => `attempt ${attemptId} continues an ended stream`);
	util.assertInvariant(attemptId !== stream.attemptId, 'stream.new-attempt', () => `attempt ${attemptId} is already the current attempt`);
	return {
		attemptId, lastEventId: -1, nextCallerEventId: stream.nextCallerEventId, text: stream.text, isEnded: false,
	};
}

/** Restarts the response with another attempt after the caller was told to discard the text; the restart event uses one event id. */
export function restartStream(stream: AssembledStream, attemptId: model.AttemptId): AssembledStream {
	const next = continueStream(stream, attemptId);
	return {...next, text: '', nextCallerEventId: next.nextCallerEventId + 1};
}

/** Marks the response as complete. */
export function endStream(stream: AssembledStream): AssembledStream {
	util.assertInvariant(!stream.isEnded, 'stream.one-end', () => `attempt ${stream.attemptId} ended twice`);
	return {...stream, isEnded: true};
}
