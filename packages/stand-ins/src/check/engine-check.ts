import type * as engine from '../engine/index.js';

/** Weights that were recalled, and the time from which every router has to enforce the recall. */
export type RecallRecord = {
	/** Text form of the weights. */
	readonly weights: string;
	/** Milliseconds since the Unix epoch; requests must not be sent to the weights after this time. */
	readonly effectiveAt: number;
};

/** Checks that no engine used another account's or other weights' cache entries or received a request for recalled weights; returns the findings. */
export function checkEngines(records: readonly engine.EngineRecord[], recalls: readonly RecallRecord[] = []): string[] {
	return records.flatMap(record => [...checkCacheHits(record), ...checkRecalls(record, recalls)]);
}

function checkCacheHits(record: engine.EngineRecord): string[] {
	return record.hits
		.filter(hit => hit.account !== record.account || hit.weights !== record.weights)
		.map(hit => `${formatAttempt(record)} used a cache entry of ${hit.account} on ${hit.weights} for a request of ${record.account} on ${record.weights}`);
}

function checkRecalls(record: engine.EngineRecord, recalls: readonly RecallRecord[]): string[] {
	return recalls
		.filter(recall => recall.weights === record.weights && record.arrivedAt > recall.effectiveAt)
		.map(recall => `${formatAttempt(record)} was sent to the recalled ${recall.weights} ${record.arrivedAt - recall.effectiveAt} ms after the recall was effective`);
}

function formatAttempt(record: engine.EngineRecord): string {
	return `request ${record.requestId} attempt ${record.attemptId} at ${record.engine}`;
}
