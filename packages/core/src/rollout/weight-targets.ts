type TargetVersion = {
	readonly version: number;
	/** When the version was first seen, in milliseconds. */
	readonly seenAt: number;
	/** Whether this VM saw the version being named, so that no other VM's clock tells more. */
	readonly isObservedLocally: boolean;
};

/** Named versions that are remembered for each model. */
const maxVersionsPerModel = 50;
/** Newest versions of each model that are passed on to VMs that start later. */
const sharedVersionsPerModel = 4;

/** The versions of weights that the operator named, with the times at which this VM saw them first. */
export class WeightTargets {
	readonly #targets = new Map<string, TargetVersion[]>();

	/**
	 * Takes a version whose naming this VM saw.
	 *
	 * @returns Whether it is newer than all before.
	 */
	observe(model: string, version: number, now: number): boolean {
		return this.#add(model, {version, seenAt: now, isObservedLocally: true});
	}

	/**
	 * Takes a version that was named before this VM looked, or one that another VM saw earlier by its clock. That clock may be set
	 * wrong, so it counts only for versions whose naming this VM missed.
	 *
	 * @returns Whether it is newer than all before.
	 */
	addReported(model: string, version: number, seenAt: number): boolean {
		return this.#add(model, {version, seenAt, isObservedLocally: false});
	}

	/** Newest versions with the times at which they were seen. */
	list(): Array<{readonly model: string; readonly version: number; readonly seenAt: number}> {
		return [...this.#targets].flatMap(([model, targets]) =>
			targets.slice(-sharedVersionsPerModel).map(target => ({model, ...target})));
	}

	/** Newest named version of each model. */
	newestVersions(): ReadonlyMap<string, number> {
		return new Map([...this.#targets].map(([model, targets]) => [model, targets.at(-1)!.version]));
	}

	/** Milliseconds since a version newer than the given one was first seen; 0 where there is none. */
	outdatedForMs(model: string, version: number, now: number): number {
		const newer = this.#targets.get(model)?.find(target => target.version > version);
		return newer === undefined ? 0 : now - newer.seenAt;
	}

	#add(model: string, target: TargetVersion): boolean {
		const {version} = target;
		const targets = this.#targets.get(model) ?? [];
		const isNewest = targets.every(other => other.version < version);
		const known = targets.find(other => other.version === version);
		const others = targets.filter(other => other.version !== version);
		const merged = [...others, merge(target, known)];
		this.#targets.set(model, merged.sort((a, b) => a.version - b.version).slice(-maxVersionsPerModel));
		return isNewest;
	}
}

/** A witnessed time stands; of two others the earlier one counts. */
function merge(target: TargetVersion, known: TargetVersion | undefined): TargetVersion {
	if (known === undefined || known.isObservedLocally) {
		return known ?? target;
	}

	return {...target, seenAt: Math.min(target.seenAt, known.seenAt)};
}
