type Target = {
	readonly version: number;
	/** When the version was first seen, in milliseconds. */
	readonly seenAt: number;
};

/** Named versions that are remembered for each model. */
const keptVersions = 50;

/** The versions of weights that the operator named, with the times at which this VM saw them first. */
export class WeightTargets {
	readonly #targets = new Map<string, Target[]>();

	/** Takes a named version. @returns Whether it is newer than all before. */
	note(model: string, version: number, now: number): boolean {
		const targets = this.#targets.get(model) ?? [];
		const newest = targets.at(-1);
		if (newest !== undefined && newest.version >= version) {
			return false;
		}

		this.#targets.set(model, [...targets, {version, seenAt: now}].slice(-keptVersions));
		return true;
	}

	/** Newest named version of each model. */
	newest(): ReadonlyMap<string, number> {
		return new Map([...this.#targets].map(([model, targets]) => [model, targets.at(-1)!.version]));
	}

	/** Milliseconds since a version newer than the given one was first seen; 0 where there is none. */
	outdatedForMs(model: string, version: number, now: number): number {
		const newer = this.#targets.get(model)?.find(target => target.version > version);
		return newer === undefined ? 0 : now - newer.seenAt;
	}
}
