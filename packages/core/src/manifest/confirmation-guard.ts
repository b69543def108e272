import type * as model from '../model/index.js';

/** The newest generation that a source reported, and the time of the query. */
export type Confirmation = {
	readonly generation: model.Generation;
	/** When the query was sent, in milliseconds; the response is no older than that. */
	readonly at: number;
};

/** Evidence that a router has on whether its manifest is current. */
export type ConfirmationState = {
	/** Latest read of the manifest head from the key-value service, by this router or reported by another one. */
	readonly kv?: Confirmation;
	/** Latest read that showed an older generation than `kv`. */
	readonly previousKv?: Confirmation;
	/** Latest confirmation from each router. */
	readonly peers: ReadonlyMap<model.VmId, Confirmation>;
};

/** Input of `decideConfirmationBasis`. */
export type ConfirmationQuery = {
	readonly self: model.VmId;
	/** VMs on the platform's list; this router always counts as listed. */
	readonly listedVms: readonly model.VmId[];
	/** Generation that is active on this router. */
	readonly generation: model.Generation | undefined;
	/** Time in milliseconds since which a newer generation than the active one is known; `undefined` when none is. */
	readonly newerSince: number | undefined;
	readonly confirmTimeoutMs: number;
};

/** What confirms that the generation of a router is current. */
export enum ConfirmationBasis {
	/** A read of the key-value service, by this router or reported by another one. */
	Kv = 'kv',
	/** A majority of the listed VMs, none of which knows a newer generation. */
	Majority = 'majority',
	/** Not confirmed: the router does not place model requests. */
	None = 'none',
}

/** State of a router that has received no confirmations yet. */
export const initialConfirmationState: ConfirmationState = {peers: new Map()};

/** Records a read of the key-value service. Ignores a read that shows an older generation, or the same one at an earlier time. */
export function recordKvRead(state: ConfirmationState, kv: Confirmation): ConfirmationState {
	const known = state.kv;
	if (known === undefined) {
		return {...state, kv};
	}

	if (kv.generation > known.generation) {
		return {...state, kv, previousKv: known};
	}

	return kv.generation === known.generation && kv.at > known.at ? {...state, kv} : state;
}

/** Records a confirmation from a router. Ignores one that is not newer than the latest from that router. */
export function recordPeerConfirmation(state: ConfirmationState, vm: model.VmId, confirmation: Confirmation): ConfirmationState {
	const known = state.peers.get(vm);
	if (known !== undefined && known.at >= confirmation.at) {
		return state;
	}

	return {...state, peers: new Map(state.peers).set(vm, confirmation)};
}

/** Removes the confirmations from VMs that are no longer listed. */
export function retainListedPeers(state: ConfirmationState, listedVms: readonly model.VmId[]): ConfirmationState {
	const listed = new Set(listedVms);
	return {...state, peers: new Map([...state.peers].filter(([vm]) => listed.has(vm)))};
}

/**
 * Decides whether a router may place model requests.
 * It may while a read of the key-value service or the confirmations from a majority of the listed VMs, within the timeout, show
 * no newer generation. A router that reaches neither could miss a recall. While the key-value service is unavailable to
 * all routers, no change can be accepted, so those that reach a majority continue.
 */
export function decideConfirmationBasis(state: ConfirmationState, query: ConfirmationQuery, now: number): ConfirmationBasis {
	const {generation, newerSince, confirmTimeoutMs} = query;
	if (generation === undefined || (newerSince !== undefined && now - newerSince > confirmTimeoutMs)) {
		return ConfirmationBasis.None;
	}

	const confirms = (confirmation: Confirmation | undefined) => confirmation !== undefined
		&& confirmation.generation <= generation
		&& now - confirmation.at <= confirmTimeoutMs;
	if (confirms(state.kv) || confirms(state.previousKv)) {
		return ConfirmationBasis.Kv;
	}

	const listed = new Set([...query.listedVms, query.self]);
	const agreeing = [...listed].filter(vm => vm === query.self || confirms(state.peers.get(vm)));
	return agreeing.length * 2 > listed.size ? ConfirmationBasis.Majority : ConfirmationBasis.None;
}
