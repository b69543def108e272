import * as routing from '../routing/index.js';

/** Properties of a route that tell how long its responses take, in milliseconds. */
export type RouteTimes = {
	readonly name: string;
	readonly kind: routing.RouteKind;
	readonly targetLatencyMs: number;
	readonly timeoutMs: number;
};

/** Number of responses of a route that are remembered. */
const rememberedResponses = 32;
/** Number of routes that are remembered; the one that was added first is forgotten for another one. */
const maxRoutes = 1000;
/** Share of the responses that take no longer than what is expected of the next one; single slow ones don't count. */
const expectedShare = 0.9;
/** Assumed time of a route without responses, as a multiple of its target. */
const unknownTargetFactor = 3;

/**
 * Decides whether a request can still be completed before the process ends in a graceful shutdown, by the time that the latest responses of its route took.
 * Times are in milliseconds of the monotonic clock.
 */
export class GracefulShutdown {
	#endsAt = Infinity;
	/** From when on streams must end by their deadline before the process does. */
	#lateStreamsAt = Infinity;
	/** Latest durations by route, as a ring. */
	readonly #durations = new Map<string, {readonly values: number[]; next: number}>();

	/** Records how long a complete response took, from when its request was sent first. */
	recordDuration(route: string, durationMs: number): void {
		let ring = this.#durations.get(route);
		if (ring === undefined) {
			ring = {values: [], next: 0};
			this.#durations.set(route, ring);
			this.#limitRoutes();
		}

		ring.values[ring.next] = durationMs;
		ring.next = (ring.next + 1) % rememberedResponses;
	}

	/**
	 * Begins the shutdown.
	 *
	 * @param endsAt - When the process ends.
	 * @param lateStreamsAt - From when on only those streams are sent whose deadline is before the end of the process.
	 */
	begin(endsAt: number, lateStreamsAt: number): void {
		this.#endsAt = Math.min(this.#endsAt, endsAt);
		this.#lateStreamsAt = Math.min(this.#lateStreamsAt, lateStreamsAt);
	}

	/**
	 * Returns until when a request may be sent so that it can be completed; `Infinity` without a shutdown. The length of a stream depends on its request, so
	 * that earlier ones of the route don't bound it.
	 *
	 * @param deadlineAt - When the request ends in any case.
	 */
	latestSendAt(route: RouteTimes, deadlineAt: number): number {
		if (this.#endsAt === Infinity) {
			return Infinity;
		}

		const expectedAt = this.#endsAt - this.#expectDurationMs(route);
		const mayBeCut = route.kind === routing.RouteKind.Streaming && deadlineAt > this.#endsAt;
		return mayBeCut ? Math.min(expectedAt, this.#lateStreamsAt) : expectedAt;
	}

	#expectDurationMs({name, targetLatencyMs, timeoutMs}: RouteTimes): number {
		const known = this.#durations.get(name)?.values.toSorted((a, b) => a - b);
		const expectedMs = known?.[Math.ceil(expectedShare * known.length) - 1] ?? unknownTargetFactor * targetLatencyMs;
		return Math.min(timeoutMs, expectedMs);
	}

	#limitRoutes(): void {
		for (const route of this.#durations.keys()) {
			if (this.#durations.size <= maxRoutes) {
				return;
			}

			this.#durations.delete(route);
		}
	}
}
