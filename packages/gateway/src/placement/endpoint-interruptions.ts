import * as core from '@bluebellmast/core';
import * as eventLog from '../util/event-log.js';

/** Dependencies of {@link EndpointInterruptions}. */
export type EndpointInterruptionsDependencies = {
	readonly log: eventLog.EventLog;
	/** Called with the requests that an endpoint interrupted together. */
	readonly onInterruption: (interruption: core.quarantine.Interruption) => void;
};

/** Time in which the connections to a process that has ended are closed, in milliseconds. */
const collectionMs = 20;
/** Number of parts in a log line. */
const maxLoggedParts = 8;

type Collection = {
	readonly endpoint: core.fleet.EndpointIncarnation;
	at: number;
	readonly requests: core.quarantine.InterruptedRequest[];
};

/** Collects the requests that an endpoint interrupts at about the same time, and reports them together. */
export class EndpointInterruptions {
	readonly #collections = new Map<string, Collection>();

	constructor(private readonly dependencies: EndpointInterruptionsDependencies) {}

	/**
	 * Records that an endpoint interrupted a request of this VM.
	 *
	 * @param at - When it did, in milliseconds of the clock that includes suspensions.
	 */
	record({id, bornAt}: core.fleet.EndpointIncarnation, request: core.quarantine.InterruptedRequest, at: number): void {
		const known = this.#collections.get(id);
		if (known?.endpoint.bornAt === bornAt) {
			known.requests.push(request);
			known.at = Math.min(known.at, at);
			return;
		}

		const collection: Collection = {endpoint: {id, bornAt}, at, requests: [request]};
		this.#collections.set(id, collection);
		setTimeout(() => {
			if (this.#collections.get(id) === collection) {
				this.#collections.delete(id);
			}

			this.#report(collection);
		}, collectionMs);
	}

	#report(interruption: core.quarantine.Interruption): void {
		const {endpoint, requests} = interruption;
		const begun = requests.filter(request => request.hasBegun).length;
		const parts = core.quarantine.countBegunParts(interruption).slice(0, maxLoggedParts);
		this.dependencies.log.write(eventLog.LogEvent.EndpointInterrupted, {
			endpoint: endpoint.id,
			bornAt: endpoint.bornAt,
			begun,
			waiting: requests.length - begun,
			parts: parts.map(({part, requests: count}) => `${part} ${count}`).join(', '),
		});
		this.dependencies.onInterruption(interruption);
	}
}
