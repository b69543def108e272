import * as batch from './batch.js';
import type * as ids from './ids.js';

/** Weights that serve a request: a model version, and an adapter version if an adapter is used. */
export type Weights = {
	readonly model: ids.ModelId;
	readonly modelVersion: ids.VersionId;
	readonly adapter?: ids.AdapterId;
	readonly adapterVersion?: ids.VersionId;
};

/** Text form of weights: `model@version` or `model@version+adapter@version`. */
export type WeightsKey = string;

/** Returns the text form of weights; equal weights have equal keys. */
export function formatWeights(weights: Weights): WeightsKey {
	const base = `${weights.model}@${weights.modelVersion}`;
	if (weights.adapter === undefined) {
		return base;
	}

	return `${base}+${weights.adapter}@${weights.adapterVersion ?? ''}`;
}

/** Returns the batches that weights consist of: the model version and, if used, the adapter version. */
export function batchesOf(weights: Weights): batch.Batch[] {
	const result: batch.Batch[] = [{kind: batch.BatchKind.Model, id: weights.model, version: weights.modelVersion}];
	if (weights.adapter !== undefined && weights.adapterVersion !== undefined) {
		result.push({kind: batch.BatchKind.Adapter, id: weights.adapter, version: weights.adapterVersion});
	}

	return result;
}

/** Returns whether any batch of the weights is recalled. */
export function isRecalled(weights: Weights, recalled: ReadonlySet<batch.BatchKey>): boolean {
	return batchesOf(weights).some(part => recalled.has(batch.formatBatch(part)));
}
