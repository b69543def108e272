import type * as changeTimes from '../store/change-times.js';
import * as namingTime from './naming-time.js';

type TargetVersion = namingTime.NamingEvidence & {
	readonly version: number;
	readonly named: namingTime.NamingTime;
};

/** A version whose estimated time of naming is new or has changed. */
export type NamingChange = namingTime.NamingTime & {
	readonly model: string;
	readonly version: number;
	/** Interval in which the version was named, by this VM's own reads. */
	readonly interval: changeTimes.ChangeInterval;
};

type Replacement = {
	readonly version: number;
	readonly namedAt: number;
};

/** Maximum number of named versions that are stored per model. */
const maxVersionsPerModel = 50;
/** Number of newest versions per model that are published for VMs that start later. */
const sharedVersionsPerModel = 16;
/** Change of an estimated time up to which it is not listed as changed, in milliseconds. */
const minListedChangeMs = 100;

/**
 * Weights versions that the operator named, with the times at which they were first seen. All times are of a clock that also
 * counts the time that the VM was suspended.
 */
export class WeightTargets {
	readonly #targets = new Map<string, TargetVersion[]>();
	/** By model, the versions in rising order, each with the earliest time at which it or a newer one was named. */
	readonly #replacements = new Map<string, Replacement[]>();
	/** Estimates that have changed since {@link WeightTargets.takeChanges}, by model and version. */
	readonly #changes = new Map<string, NamingChange>();

	/**
	 * Adds a version that this VM read from the store. Later reads of the same version change nothing.
	 *
	 * @returns Whether the version is newer than all known versions.
	 */
	observe(model: string, version: number, interval: changeTimes.ChangeInterval): boolean {
		return this.#add(model, version, known => known ?? {interval});
	}

	/**
	 * Adds the time at which a version had been named, as the roll-out plan or the end of its key shows. Clocks may be wrong, so that the time counts only
	 * if it is earlier than this VM assumes, and within the interval in which the version was named by this VM's own reads, if there is one.
	 *
	 * @returns Whether the version is newer than all known versions.
	 */
	addReported(model: string, version: number, reportedAt: number, now: number): boolean {
		const unread: namingTime.NamingEvidence = {interval: {after: -Infinity, assumed: now, before: now}};
		return this.#add(model, version, (known = unread) => ({...known, planAt: Math.min(reportedAt, known.planAt ?? Infinity)}));
	}

	/**
	 * Adds the age of a version that another VM knows. It counts within the interval in which the version was named by this VM's own reads. A version
	 * newer than all that this VM has read is ignored; ages are sent repeatedly.
	 */
	addPeerAge({model, version, ageMs}: namingTime.VersionAge, now: number): void {
		const targets = this.#targets.get(model) ?? [];
		const peerAt = now - ageMs;
		const knownAt = targets.find(target => target.version === version)?.peerAt ?? Infinity;
		if (peerAt < knownAt && (targets.at(-1)?.version ?? 0) >= version) {
			const unread: namingTime.NamingEvidence = {interval: {after: -Infinity, assumed: now, before: now}};
			this.#add(model, version, (known = unread) => ({...known, peerAt}));
		}
	}

	/**
	 * Returns the ages of the versions for which this VM needs no wall clock, to be sent to other VMs.
	 *
	 * @param maxAgeMs - Age from which a version is left out.
	 */
	listKnownAges(maxAgeMs: number, now: number): namingTime.VersionAge[] {
		return [...this.#targets].flatMap(([model, targets]) => targets.slice(-sharedVersionsPerModel).flatMap(target => {
			const known = namingTime.findKnownTime(target);
			const ageMs = known === undefined ? Infinity : Math.max(0, Math.ceil(now - known.at));
			return ageMs < maxAgeMs ? [{model, version: target.version, ageMs}] : [];
		}));
	}

	/** Returns the newest versions of each model with the times at which they were first seen. */
	list(): Array<{readonly model: string; readonly version: number; readonly seenAt: number}> {
		return [...this.#targets].flatMap(([model, targets]) =>
			targets.slice(-sharedVersionsPerModel).map(target => ({model, version: target.version, seenAt: target.named.at})));
	}

	/** Returns the versions whose estimated times of naming have changed since the last call. */
	takeChanges(): NamingChange[] {
		const changes = [...this.#changes.values()];
		this.#changes.clear();
		return changes;
	}

	/** Drops the models that are not needed any more, for instance because the operator has removed them. */
	retain(isNeeded: (model: string) => boolean): void {
		for (const model of this.#targets.keys()) {
			if (!isNeeded(model)) {
				this.#targets.delete(model);
				this.#replacements.delete(model);
			}
		}
	}

	/** Returns the newest named version by model. */
	newestVersions(): ReadonlyMap<string, number> {
		return new Map([...this.#targets].map(([model, targets]) => [model, targets.at(-1)!.version]));
	}

	/** Returns the milliseconds since a version newer than the given one was first seen; 0 if there is none. */
	outdatedForMs(model: string, version: number, now: number): number {
		return Math.max(0, now - this.#replacedAt(model, version));
	}

	/**
	 * Returns the milliseconds until requests may no longer start on a version; `Infinity` if no newer version is known.
	 *
	 * @param maxOutdatedMs - How long a version may be used after a newer one was named.
	 */
	startWithinMs(model: string, version: number, maxOutdatedMs: number, now: number): number {
		return this.#replacedAt(model, version) + maxOutdatedMs - now;
	}

	/** Returns when the first newer version was named; `Infinity` if there is none. */
	#replacedAt(model: string, version: number): number {
		return this.#replacements.get(model)?.find(replacement => replacement.version > version)?.namedAt ?? Infinity;
	}

	#add(model: string, version: number, update: (known: namingTime.NamingEvidence | undefined) => namingTime.NamingEvidence): boolean {
		const targets = this.#targets.get(model) ?? [];
		const isNewest = targets.every(other => other.version < version);
		const known = targets.find(other => other.version === version);
		const evidence = update(known);
		const updated: TargetVersion = {...evidence, version, named: namingTime.estimateNamingTime(evidence)};
		const others = targets.filter(other => other.version !== version);
		const sorted = [...others, updated].sort((a, b) => a.version - b.version).slice(-maxVersionsPerModel);
		this.#targets.set(model, sorted);
		this.#replacements.set(model, listReplacements(sorted));
		this.#recordChange(model, updated, known?.named);
		return isNewest;
	}

	#recordChange(model: string, {version, named, interval}: TargetVersion, previous: namingTime.NamingTime | undefined): void {
		if (previous?.source !== named.source || Math.abs(previous.at - named.at) >= minListedChangeMs) {
			this.#changes.set(`${model}/${version}`, {
				...named, model, version, interval,
			});
		}
	}
}

function listReplacements(targets: readonly TargetVersion[]): Replacement[] {
	let namedAt = Infinity;
	return targets.toReversed().map(target => {
		namedAt = Math.min(namedAt, target.named.at);
		return {version: target.version, namedAt};
	}).reverse();
}
