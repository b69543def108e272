import type * as endpointEntry from './endpoint-entry.js';
import type * as loadDigest from './load-digest.js';

/** Limits on the pauses that endpoints ask for, and the ramp-up of requests after them. Times are in milliseconds. */
export type PauseOptions = {
	/** Longest pause that is kept; an endpoint that asks for more is sent a request again after this time. */
	readonly maxPauseMs: number;
	/** Longest ramp-up after a pause; shorter pauses are followed by a ramp-up as long as the pause. */
	readonly maxRampUpMs: number;
	/** Steps of the ramp-up, at each of which more requests may be in flight. */
	readonly rampUpSteps: number;
	/** Calls that may be sent to an endpoint in one pause, where waiting for its end does harm. */
	readonly maxUrgentCalls: number;
	/** Maximum number of pauses that are kept. */
	readonly maxPauses: number;
};

export const defaultPauseOptions: PauseOptions = {
	maxPauseMs: 86_400_000, maxRampUpMs: 2000, rampUpSteps: 4, maxUrgentCalls: 2, maxPauses: 10_000,
};

/** The gradual increase of requests to an endpoint after its pause. */
export type RampUp = {
	/** Time until this VM sends requests to the endpoint again, in milliseconds. */
	readonly resumesInMs: number;
	/** Time from then until their number is no longer limited, in milliseconds. */
	readonly rampUpMs: number;
};

/** A pause whose end has been reached. */
export type EndedPause = {
	readonly endpoint: string;
	/** Duration of the pause, in milliseconds. */
	readonly pausedMs: number;
	/** Whether the endpoint has restarted; otherwise the time it asked for has elapsed. */
	readonly isReplaced: boolean;
};

type Pause = {
	readonly bornAt: number;
	readonly startedAt: number;
	/** End of the time that the endpoint asked for. */
	endsAt: number;
	/** When this VM sends requests again: within the time of a ramp-up after the pause, so that the VMs do not all begin at once. */
	resumesAt: number;
	/** Time from the first request after the pause until their number is no longer limited. */
	rampUpMs: number;
	urgentCalls: number;
	/** Attempts in flight that were sent after the pause. */
	readonly attempts: Set<string>;
	isEndReported: boolean;
};

/** Endpoints that asked this VM to send nothing for a time. Times are of a clock that includes suspensions of the VM. */
export class PausedEndpoints {
	/** Pauses by endpoint, the one that was recorded first first. */
	readonly #pauses = new Map<string, Pause>();

	constructor(private readonly options: PauseOptions = defaultPauseOptions) {}

	/** Number of endpoints with a pause, including those in their ramp-up. */
	get size(): number {
		return this.#pauses.size;
	}

	/**
	 * Records that an endpoint asks for a pause. A pause in progress is never shortened, since the endpoint has asked for its whole time.
	 *
	 * @param spread - Place of this VM among those that resume, from 0 to 1.
	 * @returns The duration of the pause that begins, in milliseconds; `undefined` if one was in progress.
	 */
	pause({id, bornAt}: endpointEntry.EndpointIncarnation, pauseMs: number, spread: number, now: number): number | undefined {
		const known = this.#pauses.get(id);
		if (known !== undefined && known.bornAt > bornAt) {
			// A late response of an incarnation that has ended.
			return undefined;
		}

		const boundedMs = Math.min(pauseMs, this.options.maxPauseMs);
		const rampUpMs = Math.min(boundedMs, this.options.maxRampUpMs);
		const endsAt = now + boundedMs;
		if (known?.bornAt === bornAt && now < known.endsAt) {
			if (endsAt > known.endsAt) {
				Object.assign(known, {endsAt, resumesAt: endsAt + (spread * rampUpMs), rampUpMs});
			}

			return undefined;
		}

		this.#pauses.delete(id);
		this.#pauses.set(id, {
			bornAt, startedAt: now, endsAt, resumesAt: endsAt + (spread * rampUpMs), rampUpMs, urgentCalls: 0, attempts: new Set(), isEndReported: false,
		});
		this.#enforceLimit();
		return boundedMs;
	}

	/** Returns whether an endpoint has asked that nothing be sent to it now. */
	isPaused(endpoint: endpointEntry.EndpointIncarnation, now: number): boolean {
		const pause = this.#find(endpoint);
		return pause !== undefined && now < pause.endsAt;
	}

	/** Lists the pauses in progress, for the digests of this VM. */
	list(now: number): loadDigest.PauseDigest[] {
		return [...this.#pauses]
			.filter(([, pause]) => now < pause.endsAt)
			.map(([endpoint, {bornAt, endsAt}]) => ({endpoint, bornAt, remainingMs: Math.ceil(endsAt - now)}));
	}

	/** Returns when this VM sends requests to an endpoint again; `undefined` if it does now. */
	findRampUp(endpoint: endpointEntry.EndpointIncarnation, now: number): RampUp | undefined {
		const pause = this.#find(endpoint);
		return pause === undefined || now >= pause.resumesAt ? undefined : {resumesInMs: pause.resumesAt - now, rampUpMs: pause.rampUpMs};
	}

	/**
	 * Returns whether an endpoint in its ramp-up has as many requests in flight as it may have now.
	 *
	 * @param shareOfSlots - This VM's share of the slots of the endpoint, which is reached at the end of the ramp-up.
	 */
	isRampUpLimited(endpoint: endpointEntry.EndpointIncarnation, shareOfSlots: number, now: number): boolean {
		const pause = this.#find(endpoint);
		if (pause === undefined || now >= pause.resumesAt + pause.rampUpMs) {
			return false;
		}

		const {rampUpSteps} = this.options;
		const step = Math.floor(rampUpSteps * (now - pause.resumesAt) / pause.rampUpMs);
		return pause.attempts.size >= Math.max(1, Math.floor(shareOfSlots * (step + 1) / rampUpSteps));
	}

	/** Returns whether a call may be sent that can't wait for the end of a pause; always if there is none. */
	mayCallUrgently(endpoint: endpointEntry.EndpointIncarnation, now: number): boolean {
		const pause = this.#find(endpoint);
		return pause === undefined || now >= pause.endsAt || pause.urgentCalls < this.options.maxUrgentCalls;
	}

	/** Records a call that is sent, and counts it if the endpoint is paused. */
	recordCall(endpoint: endpointEntry.EndpointIncarnation, now: number): void {
		const pause = this.#find(endpoint);
		if (pause !== undefined && now < pause.endsAt) {
			pause.urgentCalls += 1;
		}
	}

	/** Records that a request was sent. */
	recordSent(endpoint: endpointEntry.EndpointIncarnation, attempt: string): void {
		this.#find(endpoint)?.attempts.add(attempt);
	}

	/** Records the end of an attempt. */
	recordEnd(endpoint: endpointEntry.EndpointIncarnation, attempt: string): void {
		this.#find(endpoint)?.attempts.delete(attempt);
	}

	/**
	 * Removes the pauses whose ramp-up is over, and those of incarnations that were replaced. The pause of an endpoint that is
	 * not listed is kept, since its entry may come back.
	 *
	 * @param bornAtOf - Returns the incarnation that is listed, or `undefined` if the endpoint is not.
	 * @returns The pauses that have ended since the last call.
	 */
	removeEnded(bornAtOf: (endpoint: string) => number | undefined, now: number): EndedPause[] {
		const ended: EndedPause[] = [];
		for (const [endpoint, pause] of this.#pauses) {
			const isReplaced = (bornAtOf(endpoint) ?? pause.bornAt) !== pause.bornAt;
			const isOver = isReplaced || now >= pause.endsAt;
			if (isOver && !pause.isEndReported) {
				pause.isEndReported = true;
				ended.push({endpoint, pausedMs: Math.min(now, pause.endsAt) - pause.startedAt, isReplaced});
			}

			if (isReplaced || now >= pause.resumesAt + pause.rampUpMs) {
				this.#pauses.delete(endpoint);
			}
		}

		return ended;
	}

	#find({id, bornAt}: endpointEntry.EndpointIncarnation): Pause | undefined {
		const pause = this.#pauses.get(id);
		return pause?.bornAt === bornAt ? pause : undefined;
	}

	#enforceLimit(): void {
		if (this.#pauses.size > this.options.maxPauses) {
			const [oldest] = this.#pauses.keys();
			this.#pauses.delete(oldest!);
		}
	}
}

/**
 * Returns the time after which a caller should retry that was refused because all endpoints that could serve it asked for a pause. Callers
 * are spread over the ramp-up of the endpoint.
 *
 * @param first - The ramp-up of the endpoint whose pause ends first.
 * @param spread - Place of this caller among those that were refused, from 0 to 1.
 */
export function computePauseRetryAfterMs(first: RampUp, spread: number): number {
	return first.resumesInMs + (spread * first.rampUpMs);
}
