import type * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import type * as clock from '../util/clock.js';
import type * as metrics from '../util/metrics.js';
import type * as dialBackoff from './dial-backoff.js';
import type * as peerAddress from './peer-address.js';

/** Options of `TcpPeerNetwork`. */
export type TcpPeerNetworkOptions = {
	readonly vm: core.model.VmId;
	readonly incarnation: core.model.Incarnation;
	readonly dataCentre: core.model.DataCentreId;
	/** IP address to listen on; the hello announces it to the other routers. */
	readonly host: string;
	/** Port to listen on; 0 for any free port. */
	readonly port: number;
	/** Returns the addresses of the routers to keep links to; called at each tick. Duplicates and this router are ignored. */
	readonly addresses: () => readonly peerAddress.PeerAddress[];
	/** Returns the address of a router outside `addresses`, for a link on demand. By default no address is found. */
	readonly findAddress?: (vm: core.model.VmId) => peerAddress.PeerAddress | undefined;
	readonly clock: clock.Clock;
	readonly metrics?: metrics.Metrics;
	/** Interval of the ticks, and time without a send after which a heartbeat is sent, in milliseconds. Default 500. */
	readonly heartbeatMs?: number;
	/** Running time without a received byte after which a link counts as silent and is replaced, in milliseconds. Default 1,500. */
	readonly silentMs?: number;
	/** Running time without a received byte after which a link is closed, in milliseconds. Default 6,000. */
	readonly closeMs?: number;
	/** Running time for connecting and receiving the hello, in milliseconds. Default 2,000. */
	readonly helloTimeoutMs?: number;
	/** Time without use after which a link on demand is closed, in milliseconds. Default 30,000. */
	readonly idleMs?: number;
	/** Delays after failed connection attempts. Default: 250 ms, doubled up to 5,000 ms. */
	readonly dialDelays?: dialBackoff.DialDelays;
	/** Maximum size of a frame body, in bytes. Default 4 MiB. */
	readonly maxFrameBytes?: number;
	/** Maximum number of bytes buffered on one link; sends beyond it are refused. Default 8 MiB. */
	readonly maxBufferedBytes?: number;
	/** Maximum number of connections, over both directions. Default 1,024. */
	readonly maxLinks?: number;
};

/** Default values of the options. */
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
