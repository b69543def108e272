import * as manifestRules from '../manifest/index.js';
import * as model from '../model/index.js';

/** Weights that the engines of a service are to hold. */
export type DesiredWeights = {
	/** Weights that each engine is to load: for each model and adapter the first version that is not recalled. */
	readonly preferred: ReadonlySet<model.WeightsKey>;
	/** Weights that an engine may keep and serve. */
	readonly allowed: ReadonlySet<model.WeightsKey>;
};

/** Returns the weights that the engines of a service are to hold according to a manifest. */
export function resolveDesiredWeights(manifest: model.Manifest, service: model.Service): DesiredWeights {
	const preferred = new Set<model.WeightsKey>();
	const allowed = new Set<model.WeightsKey>();
	const addWeights = (list: readonly model.Weights[]): void => {
		for (const [index, weights] of list.entries()) {
			const key = model.formatWeights(weights);
			allowed.add(key);
			if (index === 0) {
				preferred.add(key);
			}
		}
	};

	for (const modelId of service.models) {
		addWeights(manifestRules.allowedWeights(manifest, modelId));
		for (const adapter of manifest.adapters.filter(entry => entry.model === modelId)) {
			addWeights(manifestRules.allowedWeights(manifest, modelId, adapter.id));
		}
	}

	return {preferred, allowed};
}

/** Versions may contain `+` (build metadata), ids may not, so the last `+` before the second `@` starts the adapter. */
const weightsPattern = /^([^@+]+)@([^@]+?)(?:\+([^@+]+)@([^@]+))?$/;

/** Returns whether a weights key contains a recalled version of a model or adapter. A malformed key counts as not recalled. */
export function isRecalledKey(key: model.WeightsKey, recalled: ReadonlySet<model.BatchKey>): boolean {
	const match = weightsPattern.exec(key);
	if (!match) {
		return false;
	}

	const base = {model: match[1]!, modelVersion: match[2]!};
	const weights = match[3] === undefined ? base : {...base, adapter: match[3], adapterVersion: match[4]!};
	return model.isRecalled(weights, recalled);
}
