import * as model from '../model/index.js';

const recalledSets = new WeakMap<model.Manifest, ReadonlySet<model.BatchKey>>();

/** Returns the recalled batches of a manifest as a set; cached per manifest object. */
export function recalledSet(manifest: model.Manifest): ReadonlySet<model.BatchKey> {
	const cached = recalledSets.get(manifest);
	if (cached !== undefined) {
		return cached;
	}

	const set = new Set(manifest.recalled);
	recalledSets.set(manifest, set);
	return set;
}

/**
 * Returns the weights that may serve a request for a model and optional adapter, in order of preference and without
 * recalled ones. Empty when the model is unknown, the adapter does not belong to it, or all weights are recalled.
 */
export function allowedWeights(manifest: model.Manifest, modelId: model.ModelId, adapterId?: model.AdapterId): model.Weights[] {
	const modelVersions = manifest.models.find(entry => entry.id === modelId)?.versions ?? [];
	const recalled = recalledSet(manifest);
	return modelVersions
		.flatMap(modelVersion => withAdapter(manifest, {model: modelId, modelVersion}, adapterId))
		.filter(weights => !model.isRecalled(weights, recalled));
}

function withAdapter(manifest: model.Manifest, base: model.Weights, adapterId: model.AdapterId | undefined): model.Weights[] {
	if (adapterId === undefined) {
		return [base];
	}

	const adapter = manifest.adapters.find(entry => entry.id === adapterId && entry.model === base.model);
	return (adapter?.versions ?? []).map(adapterVersion => ({...base, adapter: adapterId, adapterVersion}));
}
