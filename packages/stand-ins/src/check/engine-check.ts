import type * as engine from '../engine/index.js';

/** A batch that was recalled, and when every router had to know of it. */
export type RecallRecord = {
	/** Text form of the weights. */
	readonly weights: string;
	/** Milliseconds since the Unix epoch after which no request may be sent to them. */
	readonly effectiveAt: number;
};

/** Checks that no engine used cache entries across accounts or weights or got a request on recalled weights; returns the findings. */
export function checkEngines(records: readonly engine.EngineRecord[], recalls: readonly RecallRecord[] = []): string[] {
	return records.flatMap(record => [...checkCacheHits(record), ...checkRecalls(record, recalls)]);
}

function checkCacheHits(record: engine.EngineRecord): string[] {
	return record.hits
		.filter(hit => hit.account !== record.account || hit.weights !== record.weights)
		.map(hit => `${formatAttempt(record)} used cache of ${hit.account} on ${hit.weights}, it is of ${record.account} on ${record.weights}`);
}

function checkRecalls(record: engine.EngineRecord, recalls: readonly RecallRecord[]): string[] {
	return recalls
		.filter(recall => recall.weights === record.weights && record.arrivedAt > recall.effectiveAt)
		.map(recall => `${formatAttempt(record)} was sent to recalled ${recall.weights} ${record.arrivedAt - recall.effectiveAt} ms after the recall was in force`);
}

function formatAttempt(record: engine.EngineRecord): string {
	return `request ${record.requestId} attempt ${record.attemptId} at ${record.engine}`;
}
