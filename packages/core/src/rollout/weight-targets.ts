type TargetVersion = {
	readonly version: number;
	/** When the version was named, at the latest, in milliseconds. */
	readonly seenAt: number;
	/** Whether this VM saw the version when it was named, so that times from other VMs are ignored. */
	readonly isObservedLocally: boolean;
};

/** Maximum number of named versions that are stored per model. */
const maxVersionsPerModel = 50;
/** Number of newest versions per model that are published for VMs that start later. */
const sharedVersionsPerModel = 4;
/**
 * Longest time between two reads of the store without an interruption, in milliseconds. A version that was read in time counts from
 * the read, one that was read later from the read before.
 */
const maxReadIntervalMs = 2000;

/**
 * Weights versions that the operator named, with the times at which they were first seen. All times are of a clock that also
 * counts the time that the VM was suspended.
 */
export class WeightTargets {
	readonly #targets = new Map<string, TargetVersion[]>();

	/**
	 * Adds a version that this VM saw when it was named.
	 *
	 * @param namedSince - When the version was not named yet, as an earlier read of the store showed.
	 * @returns Whether the version is newer than all known versions.
	 */
	observe(model: string, version: number, namedSince: number, now: number): boolean {
		const isReadInTime = now - namedSince <= maxReadIntervalMs;
		return this.#add(model, {version, seenAt: isReadInTime ? now : namedSince, isObservedLocally: true});
	}

	/**
	 * Adds a version that was named before this VM started to watch, or that another VM saw earlier by its own clock. That clock
	 * may be wrong, so its time is used only for versions that this VM did not see when they were named.
	 *
	 * @returns Whether the version is newer than all known versions.
	 */
	addReported(model: string, version: number, seenAt: number): boolean {
		return this.#add(model, {version, seenAt, isObservedLocally: false});
	}

	/** Returns the newest versions of each model with the times at which they were first seen. */
	list(): Array<{readonly model: string; readonly version: number; readonly seenAt: number}> {
		return [...this.#targets].flatMap(([model, targets]) =>
			targets.slice(-sharedVersionsPerModel).map(target => ({model, ...target})));
	}

	/** Returns the newest named version by model. */
	newestVersions(): ReadonlyMap<string, number> {
		return new Map([...this.#targets].map(([model, targets]) => [model, targets.at(-1)!.version]));
	}

	/** Returns the milliseconds since a version newer than the given one was first seen; 0 if there is none. */
	outdatedForMs(model: string, version: number, now: number): number {
		const newer = this.#targets.get(model)?.find(target => target.version > version);
		return newer === undefined ? 0 : now - newer.seenAt;
	}

	/**
	 * Returns the milliseconds until requests may no longer start on a version; `Infinity` if no newer version is known.
	 *
	 * @param maxOutdatedMs - How long a version may be used after a newer one was named.
	 */
	startWithinMs(model: string, version: number, maxOutdatedMs: number, now: number): number {
		const newer = this.#targets.get(model)?.find(target => target.version > version);
		return newer === undefined ? Infinity : newer.seenAt + maxOutdatedMs - now;
	}

	#add(model: string, target: TargetVersion): boolean {
		const {version} = target;
		const targets = this.#targets.get(model) ?? [];
		const isNewest = targets.every(other => other.version < version);
		const known = targets.find(other => other.version === version);
		const others = targets.filter(other => other.version !== version);
		const merged = [...others, mergeTargets(target, known)];
		this.#targets.set(model, merged.sort((a, b) => a.version - b.version).slice(-maxVersionsPerModel));
		return isNewest;
	}
}

/** Merges two observations of a version: a time that this VM observed takes precedence, otherwise the earlier time. */
function mergeTargets(target: TargetVersion, known: TargetVersion | undefined): TargetVersion {
	if (known === undefined || known.isObservedLocally) {
		return known ?? target;
	}

	return {...target, seenAt: Math.min(target.seenAt, known.seenAt)};
}
