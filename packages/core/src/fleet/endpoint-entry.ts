/** Whether an endpoint takes new requests. */
export enum EndpointState {
	Ready = 'ready',
	/** Leaves soon: finishes what it has and takes no new requests. */
	Draining = 'draining',
}

/** What an endpoint registered of itself in the store. */
export type EndpointEntry = {
	readonly id: string;
	/** When this incarnation started, in Unix milliseconds; 0 where it is not told. */
	readonly bornAt: number;
	readonly pool: string;
	/** `IP:PORT`. */
	readonly address: string;
	readonly dataCentre: string;
	readonly slots: number;
	readonly state: EndpointState;
	/** Version of the weights that it holds of each model. */
	readonly weights: ReadonlyMap<string, number>;
};
