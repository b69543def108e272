import type * as model from '../model/index.js';

/** A generation that was known to be the newest at a time. */
export type Confirmation = {
	readonly generation: model.Generation;
	/** When the question was asked, in milliseconds; the answer is no older than that. */
	readonly at: number;
};

/** What a router knows of how current its manifest is. */
export type ConfirmationState = {
	/** Latest read of the head from the key-value service, its own or one that a router told of. */
	readonly kv?: Confirmation;
	/** Latest read that showed an older generation than that. */
	readonly previousKv?: Confirmation;
	/** Latest answer of each router. */
	readonly peers: ReadonlyMap<model.VmId, Confirmation>;
};

/** What the guard decides by. */
export type ConfirmationQuery = {
	readonly self: model.VmId;
	/** The platform's list of VMs; the router itself counts as listed. */
	readonly listedVms: readonly model.VmId[];
	/** Generation in force on this router. */
	readonly generation: model.Generation | undefined;
	/** Since when a newer generation than the one in force is known. */
	readonly newerSince: number | undefined;
	readonly confirmTimeoutMs: number;
};

/** How a router confirms its generation. */
export enum ConfirmationBasis {
	/** By a read of the key-value service, its own or one that a router told of. */
	Kv = 'kv',
	/** By a majority of the listed VMs that know of no newer generation. */
	Majority = 'majority',
	/** Not confirmed: model requests are not placed. */
	None = 'none',
}

/** State of a router that has asked nobody. */
export const initialConfirmationState: ConfirmationState = {peers: new Map()};

/** Records a read of the key-value service; an earlier one, or one that shows an older generation, changes nothing. */
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

/** Records a router's answer; an older one than is known changes nothing. */
export function recordPeerAnswer(state: ConfirmationState, vm: model.VmId, answer: Confirmation): ConfirmationState {
	const known = state.peers.get(vm);
	if (known !== undefined && known.at >= answer.at) {
		return state;
	}

	return {...state, peers: new Map(state.peers).set(vm, answer)};
}

/** Forgets the answers of VMs that are no longer listed. */
export function retainListedPeers(state: ConfirmationState, listedVms: readonly model.VmId[]): ConfirmationState {
	const listed = new Set(listedVms);
	return {...state, peers: new Map([...state.peers].filter(([vm]) => listed.has(vm)))};
}

/**
 * Decides whether a router may place model requests.
 * It may while the key-value service, or a majority of the listed VMs, has told within the timeout that no newer
 * generation exists. One that is cut off from both might miss a recall. While the key-value service is away for all,
 * nothing can be accepted, and all that see a majority go on.
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
