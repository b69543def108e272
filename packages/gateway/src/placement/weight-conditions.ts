import * as core from '@bluebellmast/core';

/** What the conditions depend on. */
export type WeightConditionsOptions = {
	readonly targets: core.rollout.WeightTargets;
	readonly model: string;
	/** The account of the request; its cached state is separated from that of others if it is isolated. */
	readonly account: core.routing.ApiAccount | undefined;
	/** How long older weights may be used after a newer version was named, in milliseconds. */
	readonly maxOutdatedMs: number;
	/** Milliseconds of the clock that includes suspensions. */
	readonly now: number;
};

/** What one version of the weights means for a request. */
export type VersionConditions = {
	/** Time until requests may no longer start on the version, in milliseconds; `Infinity` for the newest one. */
	readonly startWithinMs: number;
	/** Whether a request that starts at once starts in time. */
	readonly canStart: boolean;
	readonly hasOldWeights: boolean;
	readonly cacheNamespace: string;
};

/** Time after which responses of older weights are worth less by the platform's rules, in milliseconds. */
const oldWeightsGraceMs = 1500;

/** Conditions of one request on the versions of its model's weights, derived once for each version, since many engines hold the same one. */
export class WeightConditions {
	readonly #byVersion = new Map<number, VersionConditions>();

	constructor(private readonly options: WeightConditionsOptions) {}

	get model(): string {
		return this.options.model;
	}

	of(version: number): VersionConditions {
		const known = this.#byVersion.get(version);
		if (known !== undefined) {
			return known;
		}

		const conditions = this.#derive(version);
		this.#byVersion.set(version, conditions);
		return conditions;
	}

	#derive(version: number): VersionConditions {
		const {targets, model, account, maxOutdatedMs, now} = this.options;
		const startWithinMs = targets.startWithinMs(model, version, maxOutdatedMs, now);
		return {
			startWithinMs,
			canStart: core.rollout.canStartInTime(startWithinMs, 0),
			hasOldWeights: targets.outdatedForMs(model, version, now) > oldWeightsGraceMs,
			cacheNamespace: `${model}@${version}${isolationSuffix(account)}`,
		};
	}
}

/** Returns a suffix of the cache namespace that separates the cached state of an isolated account from all others. */
function isolationSuffix(account: core.routing.ApiAccount | undefined): string {
	return account?.isIsolated ? `+${account.name}` : '';
}
