import * as core from '@bluebellmast/core';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';

/** Dependencies of {@link EndpointPauses}. */
export type EndpointPausesDependencies = {
	readonly clock: Pick<clocks.Clocks, 'suspendAwareNow'>;
	readonly log: eventLog.EventLog;
	/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
};

/** Number of pauses in a digest; with about 27 bytes each they take 5 KB/s of the 19 KB/s that a node may use for control traffic. */
const maxPausesPerDigest = 4;

/**
 * The pauses that endpoints and cache stores asked this VM for, with a log line for the begin and the end of each, and those that other VMs
 * tell of. Placement asks for each candidate, so the clock is read only while there is a pause.
 */
export class EndpointPauses {
	readonly #paused = new core.fleet.PausedEndpoints();
	readonly #peers = new core.fleet.PeerPauses();
	/** Number of pauses that digests have told of; the next one continues after them. */
	#toldCount = 0;

	constructor(private readonly dependencies: EndpointPausesDependencies) {}

	/** Records the pause that a response asks for, if it does. */
	record(endpoint: core.fleet.EndpointIncarnation, retryAfterMs: number | undefined): void {
		const {log, random} = this.dependencies;
		const pauseMs = retryAfterMs === undefined ? undefined : this.#paused.pause(endpoint, retryAfterMs, random(), this.#now());
		if (pauseMs !== undefined) {
			log.write(eventLog.LogEvent.EndpointPaused, {endpoint: endpoint.id, pauseMs: Math.round(pauseMs)});
		}
	}

	/** Returns whether an endpoint has asked that nothing be sent to it now. */
	isPaused(endpoint: core.fleet.EndpointIncarnation): boolean {
		return this.#paused.isPaused(endpoint, this.#now());
	}

	/** Returns whether an endpoint has asked another VM for a pause that lasts. */
	isPausedForPeers(endpoint: core.fleet.EndpointIncarnation): boolean {
		return this.#peers.size > 0 && this.#peers.isPaused(endpoint, this.#now());
	}

	/** Returns when requests are sent to an endpoint again; `undefined` if they are now. */
	findRampUp(endpoint: core.fleet.EndpointIncarnation): core.fleet.RampUp | undefined {
		return this.#paused.size === 0 ? undefined : this.#paused.findRampUp(endpoint, this.#now());
	}

	/**
	 * Returns whether an endpoint in its ramp-up after a pause has as many requests in flight as it may have now.
	 *
	 * @param shareOfSlots - This VM's share of the slots of the endpoint.
	 */
	isRampUpLimited(endpoint: core.fleet.EndpointIncarnation, shareOfSlots: number): boolean {
		return this.#paused.size > 0 && this.#paused.isRampUpLimited(endpoint, shareOfSlots, this.#now());
	}

	/** Returns whether this VM has been asked for a pause that lasts. */
	hasPauses(): boolean {
		return this.#paused.size > 0 && this.#paused.list(this.#now()).length > 0;
	}

	/** Returns the next pauses in turn for a digest to the other VMs. */
	takeDigest(): core.fleet.PauseDigest[] {
		const pauses = this.#paused.list(this.#now());
		const first = pauses.length === 0 ? 0 : this.#toldCount % pauses.length;
		const told = [...pauses.slice(first), ...pauses.slice(0, first)].slice(0, maxPausesPerDigest);
		this.#toldCount += told.length;
		return told;
	}

	/** Applies the pauses that another VM tells of. */
	applyDigest(pauses: readonly core.fleet.PauseDigest[]): void {
		this.#peers.apply(pauses, this.#now());
	}

	/** Returns whether a call may be sent that can't wait for the end of a pause; always if there is none. */
	mayCallUrgently(endpoint: core.fleet.EndpointIncarnation): boolean {
		return this.#paused.mayCallUrgently(endpoint, this.#now());
	}

	/** Records a call that is sent, and counts it if the endpoint is paused. */
	recordCall(endpoint: core.fleet.EndpointIncarnation): void {
		this.#paused.recordCall(endpoint, this.#now());
	}

	/** Records that a request was sent. */
	recordSent(endpoint: core.fleet.EndpointIncarnation, attempt: string): void {
		this.#paused.recordSent(endpoint, attempt);
	}

	/** Records the end of an attempt. */
	recordEnd(endpoint: core.fleet.EndpointIncarnation, attempt: string): void {
		this.#paused.recordEnd(endpoint, attempt);
	}

	/**
	 * Removes pauses that have ended, and logs each end.
	 *
	 * @param bornAtOf - Returns the incarnation that is listed, or `undefined` if the endpoint is not.
	 */
	removeEnded(bornAtOf: (endpoint: string) => number | undefined): void {
		this.#peers.removeEnded(this.#now());
		for (const {endpoint, pausedMs, isReplaced} of this.#paused.removeEnded(bornAtOf, this.#now())) {
			this.dependencies.log.write(eventLog.LogEvent.EndpointPauseEnded, {endpoint, pausedMs: Math.round(pausedMs), isReplaced});
		}
	}

	#now(): number {
		return this.dependencies.clock.suspendAwareNow();
	}
}
