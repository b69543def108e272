import type * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import type * as clock from '../util/clock.js';
import type * as metrics from '../util/metrics.js';
import type * as dialBackoff from './dial-backoff.js';
import type * as peerAddress from './peer-address.js';

/** Options of the links to the other routers. */
export type TcpPeerNetworkOptions = {
	readonly vm: core.model.VmId;
	readonly incarnation: core.model.Incarnation;
	readonly dataCentre: core.model.DataCentreId;
	/** IP number to listen at, and that the others are told. */
	readonly host: string;
	/** Port to listen at; 0 takes a free one. */
	readonly port: number;
	/** Addresses of the routers to keep links to; asked at each tick, and may repeat or name this router. */
	readonly addresses: () => readonly peerAddress.PeerAddress[];
	/** Address of a router outside `addresses`, for a link on demand. Default: none is found. */
	readonly findAddress?: (vm: core.model.VmId) => peerAddress.PeerAddress | undefined;
	readonly clock: clock.Clock;
	readonly metrics?: metrics.Metrics;
	/** Milliseconds between ticks, and without a send before a heartbeat. Default 500. */
	readonly heartbeatMs?: number;
	/** Milliseconds without a byte after which a link counts as silent and a new one is opened. Default 1500. */
	readonly silentMs?: number;
	/** Milliseconds without a byte after which a link is closed. Default 6000. */
	readonly closeMs?: number;
	/** Milliseconds for a connection to be made and the hello to come. Default 2000. */
	readonly helloTimeoutMs?: number;
	/** Milliseconds without use after which a link on demand is closed. Default 30000. */
	readonly idleMs?: number;
	/** Delay after the first failed try, doubled up to the largest. Default 250 and 5000. */
	readonly dialDelays?: dialBackoff.DialDelays;
	/** Default 4 MiB. */
	readonly maxFrameBytes?: number;
	/** Bytes that may wait on one link before sends are refused. Default 8 MiB. */
	readonly maxBufferedBytes?: number;
	/** Connections at once, over both directions. Default 1024. */
	readonly maxLinks?: number;
};

/** Defaults of the options. */
export const tcpPeerNetworkDefaults = {
	heartbeatMs: 500,
	silentMs: 1500,
	closeMs: 6000,
	helloTimeoutMs: 2000,
	idleMs: 30_000,
	dialDelays: {firstMs: 250, maxMs: 5000},
	maxFrameBytes: wire.frames.defaultMaxFrameBodyBytes,
	maxBufferedBytes: 8 * 1024 * 1024,
	maxLinks: 1024,
};
