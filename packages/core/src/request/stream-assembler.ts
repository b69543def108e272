import type * as model from '../model/index.js';
import * as util from '../util/index.js';

/** One event of an engine's stream. */
export type StreamChunk = {
	readonly attemptId: model.AttemptId;
	readonly incarnation: model.Incarnation;
	/** Index of the event in the attempt's stream, from 0. */
	readonly eventId: number;
	readonly text: string;
};

/** How an event of a stream fits to what was delivered. */
export enum ChunkVerdict {
	/** The next event: its text is to be delivered. */
	Deliver = 'deliver',
	/** Was delivered before. */
	Duplicate = 'duplicate',
	/** Events before it are missing: resume after the last event. */
	Gap = 'gap',
	/** Belongs to another attempt: close the connection. */
	WrongAttempt = 'wrong_attempt',
	/** Comes from another incarnation of the engine: close the connection. */
	WrongIncarnation = 'wrong_incarnation',
	/** The answer is whole already. */
	AfterEnd = 'after_end',
}

/** What one caller was given of a streamed answer. */
export type AssembledStream = {
	readonly attemptId: model.AttemptId;
	/** Incarnation of the engine that answers the attempt; known after its first event or answer header. */
	readonly incarnation?: model.Incarnation;
	/** Index of the attempt's last delivered event; -1 before the first. */
	readonly lastEventId: number;
	/** Index of the next event towards the caller; grows over all attempts. */
	readonly nextCallerEventId: number;
	/** Text that the caller holds. */
	readonly text: string;
	readonly isEnded: boolean;
};

/** What became of an event. */
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

/** Takes one event; its text is to be delivered only on the verdict `deliver`. */
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

/** Returns whether an answer may be relayed as the stream's: same attempt, and same incarnation once that is known. */
export function matchesStream(
	stream: AssembledStream,
	attemptId: model.AttemptId,
	incarnation: model.Incarnation,
): boolean {
	return attemptId === stream.attemptId && (stream.incarnation === undefined || stream.incarnation === incarnation);
}

/** Goes on with another attempt that continues the delivered text. Its events count from 0. */
export function continueStream(stream: AssembledStream, attemptId: model.AttemptId): AssembledStream {
	util.assertInvariant(!stream.isEnded, 'stream.nothing-after-end', () => `attempt ${attemptId} continues an ended stream`);
	util.assertInvariant(attemptId !== stream.attemptId, 'stream.new-attempt', () => `attempt ${attemptId} stands already`);
	return {
		attemptId, lastEventId: -1, nextCallerEventId: stream.nextCallerEventId, text: stream.text, isEnded: false,
	};
}

/** Starts over with another attempt after the caller was told to drop the text; the restart event takes one id. */
export function restartStream(stream: AssembledStream, attemptId: model.AttemptId): AssembledStream {
	const next = continueStream(stream, attemptId);
	return {...next, text: '', nextCallerEventId: next.nextCallerEventId + 1};
}

/** Marks the answer as whole. */
export function endStream(stream: AssembledStream): AssembledStream {
	util.assertInvariant(!stream.isEnded, 'stream.one-end', () => `attempt ${stream.attemptId} ended twice`);
	return {...stream, isEnded: true};
}
