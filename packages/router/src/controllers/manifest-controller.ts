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
/**
 * Interval per live member between the reads of a router that is not a watcher, while no fresh read of the key-value service is
 * known, such as during its outage. 5 ms per member give at most 200 reads per second by all these routers together,
 * in addition to those of the watchers.
 */
const staleReadIntervalMsPerMember = 5;

/** Options of the manifest controller. */
export type ManifestControllerOptions = {
	readonly vm: core.model.VmId;
	readonly kv: clients.kv.KeyValueClient;
	readonly peers: peerNetwork.PeerNetwork;
	readonly clock: clock.Clock;
	/** Live members as known to this router. */
	readonly liveMembers: () => readonly core.model.VmId[];
	/** VMs on the platform's latest list; a majority of them can confirm the manifest. */
	readonly listedVms: () => readonly core.model.VmId[];
	readonly metrics?: metrics.Metrics;
	/** Milliseconds without confirmation after which no model requests are placed. Default 3000. */
	readonly confirmTimeoutMs?: number;
	/** Milliseconds between ticks; a watcher reads the key-value service at each tick. Default 500. */
	readonly pollMs?: number;
	/** Number of routers that watch and poll the key-value service, independent of the size of the fleet. Default 3. */
	readonly maxWatchers?: number;
	/** Minimum milliseconds between regular reads by a router that is not a watcher; more in a large fleet. Default 10000. */
	readonly minReadIntervalMs?: number;
};

/** Called with each manifest that becomes active. */
export type ManifestListener = (manifest: core.model.Manifest) => void;

/**
 * Maintains the active manifest of this router. A few routers, selected by rendezvous hashing among the live members, watch
 * and poll the key-value service and announce changes to the others, which probe them at each tick for newer generations. Every
 * router also polls slowly by itself, at a rate that adds at most one read per tick in total, whatever the size of the fleet.
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

	/** Whether this router watches the key-value service. */
	get isWatching(): boolean {
		return this.#source.isWatching;
	}

	/** Starts the timer and runs the first tick; there may still be no manifest when it resolves. */
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

	/** Returns the active manifest, or `undefined` before the first one was received. */
	current(): core.model.Manifest | undefined {
		return this.#current;
	}

	/** Returns the head of the active manifest, or `undefined` before the first one was received. */
	head(): core.manifest.ManifestHead | undefined {
		return this.#tracker.active;
	}

	/** Returns whether the active generation is confirmed, so that model requests may be placed. */
	isConfirmed(now: number): boolean {
		return this.confirmationBasis(now) !== coreManifest.ConfirmationBasis.None;
	}

	/** Returns how the active generation is confirmed. */
	confirmationBasis(now: number): core.manifest.ConfirmationBasis {
		return coreManifest.decideConfirmationBasis(this.#confirmations, {
			self: this.#options.vm,
			listedVms: this.#options.listedVms(),
			generation: this.#tracker.active?.generation,
			newerSince: this.#tracker.newer?.since,
			confirmTimeoutMs: this.#options.confirmTimeoutMs,
		}, now);
	}

	/** Adds a listener; it is called immediately if there is an active manifest. */
	onChange(listener: ManifestListener): void {
		this.#listeners.push(listener);
		if (this.#current !== undefined) {
			listener(this.#current);
		}
	}

	/** Updates the watch, probes other routers, retries missing sections and reads if due; called by the timer. */
	async tick(): Promise<void> {
		const now = this.#options.clock.now();
		const watchers = this.#selectWatchers();
		const isWatcher = watchers.includes(this.#options.vm);
		this.#confirmations = coreManifest.retainListedPeers(this.#confirmations, this.#options.listedVms());
		this.#exchange.retain(new Set([...this.#options.liveMembers(), ...this.#options.peers.connectedVms()]));
		this.#updateWatch(isWatcher);
		this.#probe(watchers, now);
		this.#retryMissingSections();
		if (this.#isReadDue(isWatcher, now)) {
			await this.#readKv(now);
		}

		this.#logBasisChange(this.#options.clock.now());
	}

	/** Selects the routers that watch the key-value service, among the members known to this router. */
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
	 * Watchers read at each tick. Others read when their confirmation is about to expire, frequently while no router reports a fresh
	 * read (the watchers may be the only routers that cannot reach the service), and slowly otherwise.
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

	/** Returns whether the latest known read of the key-value service, by any router, is older than two ticks. */
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
		this.#applyTrackerEvent({type: coreManifest.TrackerEventType.GenerationKnown, generation: read.generation});
	}

	/** Probes the watchers, and all listed and connected routers while no fresh read is known. */
	#probe(watchers: readonly core.model.VmId[], now: number): void {
		const others = this.#isKvReadStale(now) ? [...this.#options.listedVms(), ...this.#options.peers.connectedVms()] : [];
		const targets = new Set([...watchers, ...others]);
		targets.delete(this.#options.vm);
		this.#exchange.probe(targets, now);
	}

	/** Creates the callbacks of the exchange with other routers. */
	#createExchangeDelegate(): manifestExchange.ManifestExchangeDelegate {
		return {
			activeGeneration: () => this.#tracker.active?.generation ?? 0,
			newestHead: () => this.#tracker.pending?.head ?? this.#tracker.active,
			lastKvRead: () => this.#confirmations.kv,
			getSection: hash => this.#sections.get(hash),
			onHead: (head, from) => {
				this.#onHead(head, from);
			},
			onPeerGeneration: (from, confirmation) => {
				this.#confirmations = coreManifest.recordPeerConfirmation(this.#confirmations, from, confirmation);
			},
			onKvRead: read => {
				this.#recordKvRead(read);
			},
			onSection: (hash, bytes) => {
				this.#onSection(hash, bytes);
			},
		};
	}

	/** Passes a manifest head to the tracker; its source is `undefined` if it was read from the key-value service. */
	#onHead(head: core.manifest.ManifestHead, source: core.manifest.HeadSource): void {
		this.#applyTrackerEvent({
			type: coreManifest.TrackerEventType.HeadSeen, head, source, held: this.#sections.hashes,
		});
	}

	#onSection(hash: string, bytes: Uint8Array | undefined): void {
		if (bytes !== undefined && this.#isMissing(hash) && this.#sections.add(hash, bytes) && this.#findMissingSections().length === 0) {
			this.#applyTrackerEvent({type: coreManifest.TrackerEventType.SectionsArrived, held: this.#sections.hashes});
		}
	}

	#applyTrackerEvent(event: core.manifest.TrackerEvent): void {
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

	/**
	 * Adds recalled model and adapter versions to the active manifest at once; its generation changes only when the new manifest
	 * is complete.
	 */
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
		debug('manifest generation %d by change %s is now active', head.generation, head.changeId);
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

	/** Reads the sections one after the other, so that few connections are open if the key-value service stops answering. */
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

	/** Requests missing sections again, alternating between the key-value service and the connected routers. */
	#retryMissingSections(): void {
		const hashes = this.#findMissingSections();
		if (hashes.length === 0) {
			return;
		}

		const sources = [undefined, ...this.#options.peers.connectedVms()];
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
			debug('manifest confirmation basis is now %s, was %s', basis, this.#loggedBasis);
			this.#loggedBasis = basis;
		}
	}
}
