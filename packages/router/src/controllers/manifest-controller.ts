import * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import createDebug from 'debug';
import type * as peerNetwork from '../peers/peer-network.js';
import type * as clock from '../util/clock.js';
import type * as metrics from '../util/metrics.js';
import type * as controller from './controller.js';
import * as manifestExchange from './manifest-exchange.js';
import * as manifestKvSource from './manifest-kv-source.js';
import * as manifestSections from './manifest-sections.js';

const debug = createDebug('bluebellmast:manifest');
const coreManifest = core.manifest;
/** Spreads the reads of all routers while the key-value service is away: 200 a second at most, beside the watchers'. */
const staleReadIntervalMsPerMember = 5;

/** Options of the manifest controller. */
export type ManifestControllerOptions = {
	readonly vm: core.model.VmId;
	readonly kv: clients.kv.KeyValueClient;
	readonly peers: peerNetwork.PeerNetwork;
	readonly clock: clock.Clock;
	/** Members that are alive as far as this router knows. */
	readonly liveMembers: () => readonly core.model.VmId[];
	/** The platform's latest list of VMs; it gives the majority. */
	readonly listedVms: () => readonly core.model.VmId[];
	readonly metrics?: metrics.Metrics;
	/** Milliseconds without confirmation after which model requests are no longer placed. Default 3000. */
	readonly confirmTimeoutMs?: number;
	/** Milliseconds between ticks. Default 500. */
	readonly pollMs?: number;
	/** Routers that watch and poll the key-value service, whatever the size of the fleet. Default 3. */
	readonly maxWatchers?: number;
	/** Smallest time between two reads of a router that is no watcher; it grows with the fleet. Default 10000. */
	readonly minReadIntervalMs?: number;
};

/** Is told each manifest that comes into force. */
export type ManifestListener = (manifest: core.model.Manifest) => void;

/**
 * Keeps the manifest that is in force on this router. A few routers, picked by rendezvous over the live members, watch
 * and poll the key-value service and tell the others; the others ask these each tick how current they are. Every router
 * also polls slowly by itself, so that together at most one read a tick is added whatever the size of the fleet.
 */
export class ManifestController implements controller.Controller {
	readonly #options: Required<Omit<ManifestControllerOptions, 'metrics'>> & Pick<ManifestControllerOptions, 'metrics'>;
	readonly #source: manifestKvSource.ManifestKvSource;
	readonly #exchange: manifestExchange.ManifestExchange;
	readonly #sections = new manifestSections.ManifestSections();
	readonly #listeners: ManifestListener[] = [];
	#tracker: core.manifest.TrackerState = coreManifest.initialTrackerState;
	#confirmations: core.manifest.ConfirmationState = coreManifest.initialConfirmationState;
	#current: core.model.Manifest | undefined;
	#timer: NodeJS.Timeout | undefined;
	#lastReadAt = Number.NEGATIVE_INFINITY;
	#isReading = false;
	#isFetching = false;
	#fetchSourceIndex = 0;
	#loggedBasis = coreManifest.ConfirmationBasis.None;

	constructor(options: ManifestControllerOptions) {
		this.#options = {
			confirmTimeoutMs: 3000, pollMs: 500, maxWatchers: 3, minReadIntervalMs: 10_000, ...options,
		};
		this.#source = new manifestKvSource.ManifestKvSource(options.kv, head => {
			this.#onHead(head, undefined);
		});
		this.#exchange = new manifestExchange.ManifestExchange(options.peers, options.clock, this.#createExchangeDelegate());
	}

	/** Whether a watch of the key-value service is under way. */
	get isWatching(): boolean {
		return this.#source.isWatching;
	}

	/** Makes a first read and starts ticking; there may be no manifest yet when it returns. */
	async start(): Promise<void> {
		this.#timer = setInterval(() => {
			void this.tick();
		}, this.#options.pollMs);
		await this.tick();
	}

	async stop(): Promise<void> {
		clearInterval(this.#timer);
		this.#source.closeWatch();
	}

	/** The manifest in force, absent until the first has come. */
	current(): core.model.Manifest | undefined {
		return this.#current;
	}

	/** The head in force, absent until the first has come. */
	head(): core.manifest.ManifestHead | undefined {
		return this.#tracker.inForce;
	}

	/** Whether model requests may be placed. */
	isConfirmed(now: number): boolean {
		return this.confirmationBasis(now) !== coreManifest.ConfirmationBasis.None;
	}

	/** How the generation in force is confirmed. */
	confirmationBasis(now: number): core.manifest.ConfirmationBasis {
		return coreManifest.decideConfirmationBasis(this.#confirmations, {
			self: this.#options.vm,
			listedVms: this.#options.listedVms(),
			generation: this.#tracker.inForce?.generation,
			newerSince: this.#tracker.newer?.since,
			confirmTimeoutMs: this.#options.confirmTimeoutMs,
		}, now);
	}

	/** Adds a listener; it is told at once when a manifest is in force. */
	onChange(listener: ManifestListener): void {
		this.#listeners.push(listener);
		if (this.#current !== undefined) {
			listener(this.#current);
		}
	}

	/** Carries out one round of watching, reading, asking and fetching; called by the timer. */
	async tick(): Promise<void> {
		const now = this.#options.clock.now();
		const watchers = this.#selectWatchers();
		const isWatcher = watchers.includes(this.#options.vm);
		this.#confirmations = coreManifest.retainListedPeers(this.#confirmations, this.#options.listedVms());
		this.#updateWatch(isWatcher);
		this.#probe(watchers, now);
		this.#retryMissingSections();
		if (this.#isReadDue(isWatcher, now)) {
			await this.#readKv(now);
		}

		this.#logBasisChange(this.#options.clock.now());
	}

	/** The routers that watch the key-value service, as this router sees the members. */
	#selectWatchers(): readonly core.model.VmId[] {
		const members = new Set([...this.#options.liveMembers(), this.#options.vm]);
		return core.util.rankByRendezvous('manifest-watch', [...members]).slice(0, this.#options.maxWatchers);
	}

	#updateWatch(isWatcher: boolean): void {
		if (isWatcher) {
			this.#source.openWatch();
		} else {
			this.#source.closeWatch();
		}
	}

	/**
	 * Watchers read each tick. Others read when their confirmation is about to lapse, often while nobody tells of a fresh
	 * read (the watchers may be the only ones that can't reach the service), and slowly otherwise.
	 */
	#isReadDue(isWatcher: boolean, now: number): boolean {
		const {pollMs, minReadIntervalMs, liveMembers} = this.#options;
		const members = liveMembers().length;
		const intervalMs = this.#isKvReadStale(now)
			? Math.max(2 * pollMs, members * staleReadIntervalMsPerMember)
			: Math.max(minReadIntervalMs, members * pollMs);
		const expiresSoon = this.confirmationBasis(now + (2 * pollMs)) === coreManifest.ConfirmationBasis.None;
		return isWatcher || expiresSoon || now - this.#lastReadAt >= intervalMs;
	}

	/** Whether nobody told of a read of the key-value service lately. */
	#isKvReadStale(now: number): boolean {
		return now - (this.#confirmations.kv?.at ?? Number.NEGATIVE_INFINITY) > 2 * this.#options.pollMs;
	}

	async #readKv(now: number): Promise<void> {
		if (this.#isReading) {
			return;
		}

		this.#isReading = true;
		this.#lastReadAt = now;
		const {failed, head} = await this.#source.readHead();
		this.#isReading = false;
		this.#options.metrics?.increment(failed ? 'manifest.kv_read_failed' : 'manifest.kv_read');
		if (failed) {
			return;
		}

		this.#recordKvRead({generation: head?.generation ?? 0, at: now});
		if (head !== undefined) {
			this.#onHead(head, undefined);
		}
	}

	#recordKvRead(read: core.manifest.Confirmation): void {
		this.#confirmations = coreManifest.recordKvRead(this.#confirmations, read);
		this.#step({type: coreManifest.TrackerEventType.GenerationKnown, generation: read.generation});
	}

	/** Asks the watchers; all listed VMs while nobody tells of a fresh read. */
	#probe(watchers: readonly core.model.VmId[], now: number): void {
		const others = this.#isKvReadStale(now) ? [...this.#options.listedVms(), ...this.#options.peers.connected()] : [];
		const targets = new Set([...watchers, ...others]);
		targets.delete(this.#options.vm);
		this.#exchange.probe(targets, now);
	}

	/** What the exchange with other routers asks and tells. */
	#createExchangeDelegate(): manifestExchange.ManifestExchangeDelegate {
		return {
			activeGeneration: () => this.#tracker.inForce?.generation ?? 0,
			newestHead: () => this.#tracker.pending?.head ?? this.#tracker.inForce,
			lastKvRead: () => this.#confirmations.kv,
			getSection: hash => this.#sections.get(hash),
			onHead: (head, from) => {
				this.#onHead(head, from);
			},
			onPeerGeneration: (from, confirmation) => {
				this.#confirmations = coreManifest.recordPeerAnswer(this.#confirmations, from, confirmation);
			},
			onKvRead: read => {
				this.#recordKvRead(read);
			},
			onSection: (hash, bytes) => {
				this.#onSection(hash, bytes);
			},
		};
	}

	#onHead(head: core.manifest.ManifestHead, source: core.manifest.HeadSource): void {
		this.#step({
			type: coreManifest.TrackerEventType.HeadSeen, head, source, held: this.#sections.hashes,
		});
	}

	#onSection(hash: string, bytes: Uint8Array | undefined): void {
		if (bytes !== undefined && this.#isMissing(hash) && this.#sections.add(hash, bytes) && this.#findMissingSections().length === 0) {
			this.#step({type: coreManifest.TrackerEventType.SectionsArrived, held: this.#sections.hashes});
		}
	}

	#step(event: core.manifest.TrackerEvent): void {
		const {state, effects} = coreManifest.stepTracker(this.#tracker, event, this.#options.clock.now());
		this.#tracker = state;
		for (const effect of effects) {
			this.#executeEffect(effect);
		}
	}

	#executeEffect(effect: core.manifest.TrackerEffect): void {
		switch (effect.type) {
			case coreManifest.TrackerEffectType.Adopt: {
				this.#adopt(effect.head);
				return;
			}

			case coreManifest.TrackerEffectType.BlockBatches: {
				this.#blockBatches(effect.batches);
				return;
			}

			case coreManifest.TrackerEffectType.FetchSections: {
				this.#fetchSections(effect.hashes, effect.source);
			}
		}
	}

	/** Recalls batches of the manifest in force, whose generation stays until the rest has come. */
	#blockBatches(batches: readonly core.model.BatchKey[]): void {
		if (this.#current !== undefined) {
			const recalled = [...new Set([...this.#current.recalled, ...batches])];
			this.#publish({...this.#current, recalled});
		}
	}

	#adopt(head: core.manifest.ManifestHead): void {
		const manifest = this.#sections.assemble(head);
		core.util.assertInvariant(manifest !== undefined, 'manifest.sections-well-formed', () => `generation ${head.generation}`);
		this.#sections.retainOnly(head);
		debug('generation %d by change %s is in force', head.generation, head.changeId);
		this.#options.metrics?.gauge('manifest.generation', head.generation);
		this.#exchange.announce(head);
		this.#publish(manifest);
	}

	#publish(manifest: core.model.Manifest): void {
		this.#current = manifest;
		for (const listener of this.#listeners) {
			listener(manifest);
		}
	}

	#fetchSections(hashes: readonly string[], source: core.manifest.HeadSource): void {
		const isRequested = source !== undefined && this.#exchange.requestSections(source, hashes);
		if (isRequested) {
			return;
		}

		void this.#fetchFromKv(hashes);
	}

	/** Reads one section after the other, so that few connections are open that could go silent. */
	async #fetchFromKv(hashes: readonly string[]): Promise<void> {
		if (this.#isFetching) {
			return;
		}

		this.#isFetching = true;
		for (const hash of hashes) {
			const bytes = await this.#source.readSection(hash); // eslint-disable-line no-await-in-loop
			this.#onSection(hash, bytes);
		}

		this.#isFetching = false;
	}

	/** Asks again for what is still missing: the key-value service and each connected router in turn. */
	#retryMissingSections(): void {
		const hashes = this.#findMissingSections();
		if (hashes.length === 0) {
			return;
		}

		const sources = [undefined, ...this.#options.peers.connected()];
		this.#fetchSections(hashes, sources[this.#fetchSourceIndex % sources.length]);
		this.#fetchSourceIndex += 1;
	}

	#findMissingSections(): readonly string[] {
		const {pending} = this.#tracker;
		return pending === undefined ? [] : coreManifest.findMissingSections(pending.head, this.#sections.hashes);
	}

	#isMissing(hash: string): boolean {
		return this.#findMissingSections().includes(hash);
	}

	#logBasisChange(now: number): void {
		const basis = this.confirmationBasis(now);
		if (basis !== this.#loggedBasis) {
			debug('confirmation by %s, before by %s', basis, this.#loggedBasis);
			this.#loggedBasis = basis;
		}
	}
}
