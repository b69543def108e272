import type * as core from '@bluebellmast/core';
import type * as endpointPauses from '../placement/endpoint-pauses.js';
import type * as fleetState from '../placement/fleet-state.js';
import type * as ports from '../ports/index.js';
import type * as clocks from '../util/clocks.js';

/** Dependencies of {@link EndpointChecker}. */
export type EndpointCheckerDependencies = {
	readonly admin: Pick<ports.EndpointAdmin, 'checkHealth' | 'readReport'>;
	readonly fleet: Pick<fleetState.FleetState, 'registry' | 'limits'>;
	readonly pauses: Pick<endpointPauses.EndpointPauses, 'record' | 'recordCall'>;
	readonly clock: clocks.Clocks;
};

enum CallOutcome {
	/** The listed incarnation responded. */
	Responded = 'responded',
	/** The connection was established, and closed or reset before a response. */
	ConnectionReset = 'connection_reset',
	Failed = 'failed',
}

/** Checks whether endpoints respond. */
export class EndpointChecker {
	constructor(private readonly dependencies: EndpointCheckerDependencies) {}

	/**
	 * Checks an endpoint. A call whose connection was reset is repeated once, since the endpoint may have closed an idle connection at that
	 * moment; a second reset shows that a process listens, which may be at its connection limit.
	 *
	 * @returns Whether the endpoint is alive.
	 */
	async isAlive(entry: core.fleet.EndpointEntry, pool: core.routing.Pool): Promise<boolean> {
		const first = await this.#call(entry, pool);
		const mayRepeat = this.dependencies.fleet.limits.waitMs(entry, this.dependencies.clock.suspendAwareNow()) === 0;
		const last = first === CallOutcome.ConnectionReset && mayRepeat ? await this.#call(entry, pool) : first;
		return last !== CallOutcome.Failed;
	}

	async #call(entry: core.fleet.EndpointEntry, pool: core.routing.Pool): Promise<CallOutcome> {
		this.dependencies.pauses.recordCall(entry);
		const {limits} = this.dependencies.fleet;
		limits.take(entry, this.dependencies.clock.suspendAwareNow());
		limits.countSend(entry);
		return pool.engine === undefined ? this.#checkPlainService(entry, pool) : this.#readEngine(entry);
	}

	async #checkPlainService(entry: core.fleet.EndpointEntry, pool: core.routing.Pool): Promise<CallOutcome> {
		const {isAlive, isReset, retryAfterMs} = await this.dependencies.admin.checkHealth(entry, pool);
		this.dependencies.pauses.record(entry, retryAfterMs);
		return isAlive ? CallOutcome.Responded : getFailure(isReset);
	}

	/** Reads an engine's report and records its weights. */
	async #readEngine(entry: core.fleet.EndpointEntry): Promise<CallOutcome> {
		const {admin, fleet, pauses, clock} = this.dependencies;
		const result = await admin.readReport(entry);
		const failure = result.swap().toMaybe().extract();
		if (failure?.retryAfterMs !== undefined) {
			pauses.record(entry, failure.retryAfterMs);
			return CallOutcome.Responded;
		}

		const report = result.toMaybe().extract();
		if (report === undefined || (report.bornAt !== 0 && report.bornAt !== entry.bornAt)) {
			return getFailure(failure?.isReset);
		}

		for (const [model, version] of report.weights) {
			fleet.registry.recordObservedWeights(entry.id, entry.bornAt, {model, version}, clock.suspendAwareNow());
		}

		return CallOutcome.Responded;
	}
}

function getFailure(isReset: boolean | undefined): CallOutcome {
	return isReset === true ? CallOutcome.ConnectionReset : CallOutcome.Failed;
}
