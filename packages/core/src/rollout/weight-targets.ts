type Target = {
	readonly version: number;
	/** When the version was first seen, in milliseconds. */
	readonly seenAt: number;
};

/** Named versions that are remembered for each model. */
const keptVersions = 50;
/** Newest versions of each model that are passed on to VMs that start later. */
const passedOnVersions = 4;

/** The versions of weights that the operator named, with the times at which this VM saw them first. */
export class WeightTargets {
	readonly #targets = new Map<string, Target[]>();

	/**
	 * Takes a named version, also one that another VM saw earlier than this one.
	 *
	 * @returns Whether it is newer than all before.
	 */
	note(model: string, version: number, seenAt: number): boolean {
		const targets = this.#targets.get(model) ?? [];
		const isNewest = targets.every(target => target.version < version);
		const known = targets.find(target => target.version === version);
		const others = targets.filter(target => target.version !== version);
		const merged = [...others, {version, seenAt: Math.min(seenAt, known?.seenAt ?? Infinity)}];
		this.#targets.set(model, merged.sort((a, b) => a.version - b.version).slice(-keptVersions));
		return isNewest;
	}

	/** Newest versions with the times at which they were seen. */
	list(): Array<{readonly model: string; readonly version: number; readonly seenAt: number}> {
		return [...this.#targets].flatMap(([model, targets]) =>
			targets.slice(-passedOnVersions).map(target => ({model, ...target})));
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
