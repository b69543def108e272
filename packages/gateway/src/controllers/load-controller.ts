import type * as core from '@bluebellmast/core';
import type * as peers from '../peers/index.js';
import type * as endpointPauses from '../placement/endpoint-pauses.js';
import type * as fleetState from '../placement/fleet-state.js';
import * as namingLog from '../placement/naming-log.js';
import type * as clocks from '../util/clocks.js';
import type * as eventLog from '../util/event-log.js';
import type * as quarantineController from './quarantine-controller.js';
import type * as coordinationController from './coordination-controller.js';

/** Dependencies of the controller. */
export type LoadControllerDependencies = {
	readonly vm: string;
	/** Random number that distinguishes this process from earlier ones of the VM. */
	readonly process: number;
	/** Data centre of the VM; digests list no reached pools without it and `getTunnelAddress`. */
	readonly dataCentre?: string;
	/** Returns the address at which this VM opens connections for others; `undefined` if it opens none now. */
	readonly getTunnelAddress?: () => string | undefined;
	readonly fleet: fleetState.FleetState;
	readonly pauses: Pick<endpointPauses.EndpointPauses, 'hasPauses' | 'takeDigest' | 'applyDigest'>;
	readonly quarantine: Pick<quarantineController.QuarantineController, 'applyDigest' | 'takeDigest' | 'tick' | 'hasPendingEvidence' | 'hasQuarantinedParts'>;
	readonly coordination: Pick<coordinationController.CoordinationController, 'listPeerAddresses'>;
	readonly exchange: Pick<peers.PeerExchange, 'send'>;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
	/** Age from which a version of weights is left out of digests, in milliseconds. */
	readonly maxSharedVersionAgeMs: number;
};

/** Delay between an observation and the digest that carries it, in milliseconds, so that one digest carries several. */
const observationDelayMs = 5;
/**
 * Number of VMs that each digest is sent to; in larger fleets they take turns. Six digests of about 330 bytes, seven times a
 * second, amount to 14 KB/s of the 19 KB/s that a node may use for control traffic.
 */
const peersPerDigest = 6;
/** Number of VMs that a digest with evidence on prompt parts is sent to. */
const peersPerUrgentDigest = 12;
/** Interval between digests when there are no new observations, in milliseconds. */
const digestIntervalMs = 200;
/** Largest number of observations in a digest, so that it fits into one packet. */
const maxObservations = 24;
/** Largest number of leaving endpoints in a digest, for the same reason. */
const maxLeavingEndpoints = 8;

/** Largest number of reached pools in a digest, for the same reason. */
const maxReachedPools = 8;

/** Number of limits in a digest; with about 30 bytes each they take 4 KB/s of the 19 KB/s that a node may use for control traffic. */
const maxLimitsPerDigest = 4;

/** Largest number of versions in a digest, so that it fits into one packet. */
const maxSharedVersions = 8;

/** Sends the other VMs digests of the load that this VM puts on each endpoint and of its cache observations. */
export class LoadController {
	/** Starts at the wall clock for earlier builds, which compare the numbers of different processes. */
	#sequence = Date.now();
	#wasIdle = false;
	readonly #observations: core.fleet.CacheObservation[] = [];
	#timer: NodeJS.Timeout | undefined;
	/** Number of recipients of the digests that were sent in turn; the next turn starts after them. */
	#rotationOffset = 0;
	#lastSentAt = -Infinity;
	#isStopped = false;

	constructor(private readonly dependencies: LoadControllerDependencies) {}

	/** Applies cache observations of this VM and soon sends them to the others, since any VM may get the next request for a part. */
	publishObservations(observations: readonly core.fleet.CacheObservation[]): void {
		const now = this.dependencies.clock.monotonicNow();
		for (const observation of observations) {
			this.dependencies.fleet.parts.applyObservation(observation, now);
		}

		if (this.#isStopped) {
			return;
		}

		this.#observations.push(...observations);
		this.#scheduleSend();
	}

	/** Soon sends the other VMs a digest, which names the endpoints that told this VM that they are leaving. */
	publishNotices(): void {
		this.#scheduleSend();
	}

	/** Applies a digest of another VM. */
	applyDigest(digest: core.fleet.LoadDigest): void {
		const {fleet, pauses, quarantine, clock, log} = this.dependencies;
		const now = clock.monotonicNow();
		fleet.peers.applyDigest(digest, now);
		pauses.applyDigest(digest.pauses ?? []);
		if (digest.reach !== undefined) {
			fleet.peerReach.applyDigest(digest.vm, digest.reach, now);
		}

		fleet.limits.applyDigest(digest.limits ?? [], clock.suspendAwareNow());
		if (digest.quarantine !== undefined) {
			quarantine.applyDigest(digest.quarantine);
		}

		for (const age of digest.versionAges ?? []) {
			fleet.targets.addPeerAge(age, clock.suspendAwareNow());
		}

		namingLog.writeNamingChanges(fleet.targets, log, clock.suspendAwareNow());
		for (const observation of digest.cacheObservations) {
			fleet.parts.applyObservation(observation, now);
		}

		for (const endpoint of digest.leavingEndpoints ?? []) {
			// Reports of incarnations that are not listed here would never be removed.
			if (fleet.registry.get(endpoint.id)?.bornAt === endpoint.bornAt) {
				fleet.leaving.recordReport(endpoint, clock.suspendAwareNow());
			}
		}
	}

	/** Sends a digest if one is due; a VM that becomes idle, without pauses, limits and young versions to publish, sends one more and then none. */
	tick(): void {
		const {fleet, pauses, quarantine} = this.dependencies;
		quarantine.tick();
		const isIdle = fleet.loads.listBusyEndpoints().length === 0 && !pauses.hasPauses() && !fleet.limits.hasLimits && !quarantine.hasQuarantinedParts
			&& this.#listVersionAges().length === 0;
		const isDue = !this.#isStopped && this.dependencies.clock.monotonicNow() - this.#lastSentAt >= digestIntervalMs;
		if (isDue && !(isIdle && this.#wasIdle)) {
			this.#send();
			this.#wasIdle = isIdle;
		}
	}

	/** Cancels the scheduled digest; no digest is sent afterwards. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	#scheduleSend(): void {
		if (this.#isStopped) {
			return;
		}

		this.#timer ??= setTimeout(() => {
			this.#send();
		}, observationDelayMs);
	}

	#send(): void {
		const {vm, process, exchange, fleet, pauses, quarantine} = this.dependencies;
		clearTimeout(this.#timer);
		this.#timer = undefined;
		const observations = this.#observations.splice(0, maxObservations);
		this.#sequence += 1;
		this.#lastSentAt = this.dependencies.clock.monotonicNow();
		const isUrgent = quarantine.hasPendingEvidence;
		exchange.send({
			vm,
			process,
			sequence: this.#sequence,
			endpoints: this.#describeLoad(),
			cacheObservations: observations,
			pauses: pauses.takeDigest(),
			limits: fleet.limits.takeDigest(maxLimitsPerDigest, this.dependencies.clock.suspendAwareNow()),
			leavingEndpoints: fleet.leaving.listNoticed(maxLeavingEndpoints),
			reach: this.#describeReach(),
			quarantine: quarantine.takeDigest(),
			versionAges: this.#listVersionAges(),
		}, this.#choosePeers(observations, isUrgent));
		if (this.#observations.length > 0 || quarantine.hasPendingEvidence) {
			this.#scheduleSend();
		}
	}

	/**
	 * Chooses the recipients: all VMs for observations of the cache store, which only a few VMs make, otherwise some VMs in turn; more of them for
	 * evidence that all VMs need soon, which the recipients pass on.
	 */
	#choosePeers(observations: readonly core.fleet.CacheObservation[], isUrgent: boolean): readonly string[] {
		const addresses = this.dependencies.coordination.listPeerAddresses(this.dependencies.vm);
		const hasStoreObservation = observations.some(observation => observation.endpoint === '');
		const count = isUrgent ? peersPerUrgentDigest : peersPerDigest;
		if (hasStoreObservation || addresses.length <= count) {
			return addresses;
		}

		const first = this.#rotationOffset % addresses.length;
		this.#rotationOffset += count;
		return [...addresses, ...addresses].slice(first, first + count);
	}

	#listVersionAges(): core.rollout.VersionAge[] {
		const {fleet, clock, maxSharedVersionAgeMs} = this.dependencies;
		return fleet.targets.listKnownAges(maxSharedVersionAgeMs, clock.suspendAwareNow()).slice(-maxSharedVersions);
	}

	#describeReach(): core.fleet.ReachDigest | undefined {
		const {dataCentre, getTunnelAddress, fleet, clock} = this.dependencies;
		const tunnelAddress = getTunnelAddress?.();
		return dataCentre === undefined || tunnelAddress === undefined
			? undefined
			: {tunnelAddress, dataCentre, pools: fleet.paths.listReachedPools(clock.monotonicNow()).slice(0, maxReachedPools)};
	}

	#describeLoad(): core.fleet.EndpointDigest[] {
		const {fleet, clock} = this.dependencies;
		const now = clock.monotonicNow();
		return fleet.loads.listBusyEndpoints().map(endpoint => {
			const lastReceivedAt = fleet.health.lastReceivedAt(endpoint);
			return {
				endpoint,
				active: fleet.loads.countOwnActive(endpoint),
				prefillTokens: fleet.loads.countPrefillTokens(endpoint),
				sinceLastReceivedMs: Number.isFinite(lastReceivedAt) ? Math.round(now - lastReceivedAt) : undefined,
			};
		});
	}
}
