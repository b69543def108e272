/** Whether an endpoint accepts new requests. */
export enum EndpointState {
	Ready = 'ready',
	/** Shuts down soon: finishes the requests in flight and accepts no new ones. */
	Draining = 'draining',
}

/** The entry that an endpoint registers for itself in the key-value store. */
export type EndpointEntry = {
	readonly id: string;
	/** Start time of this incarnation, in Unix milliseconds; 0 when unknown. */
	readonly bornAt: number;
	readonly pool: string;
	/** `IP:PORT`. */
	readonly address: string;
	readonly dataCentre: string;
	readonly slots: number;
	readonly state: EndpointState;
	/** Version of the loaded weights by model. */
	readonly weights: ReadonlyMap<string, number>;
};

/** One incarnation of an endpoint: a restart under the same id is another one. */
export type EndpointIncarnation = Pick<EndpointEntry, 'id' | 'bornAt'>;

/** Returns whether two entries state the same. */
export function isSameEntry(a: EndpointEntry, b: EndpointEntry): boolean {
	return a.id === b.id
		&& a.bornAt === b.bornAt
		&& a.pool === b.pool
		&& a.address === b.address
		&& a.dataCentre === b.dataCentre
		&& a.slots === b.slots
		&& a.state === b.state
		&& hasSameWeights(a, b);
}

function hasSameWeights({weights}: EndpointEntry, other: EndpointEntry): boolean {
	if (weights.size !== other.weights.size) {
		return false;
	}

	for (const [model, version] of weights) {
		if (other.weights.get(model) !== version) {
			return false;
		}
	}

	return true;
}
