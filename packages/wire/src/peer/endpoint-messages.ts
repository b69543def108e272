import type * as core from '@bluebellmast/core';
import type * as loadReport from '../endpoint/load-report.js';
import type * as peerMessageType from './peer-message-type.js';

/** Says which endpoints leave or drain; each router passes a newer notice of an origin on once. */
export type EndpointNotice = {
	readonly type: peerMessageType.PeerMessageType.EndpointNotice;
	/** Router that made the notice, in one incarnation. */
	readonly origin: core.model.Incarnation;
	/** Grows with each notice of an origin. */
	readonly sequence: number;
	/** Endpoints that the origin has seen to be leaving, with their incarnation. */
	readonly leaving: ReadonlyArray<{
		readonly endpoint: core.model.EndpointId;
		readonly incarnation: core.model.Incarnation;
	}>;
	/** Set by the leader: engines that are to get no new requests for now. */
	readonly draining?: {
		readonly fencing: number;
		readonly endpoints: readonly core.model.EndpointId[];
	};
};

/** The load of one endpoint as its watcher read it. */
export type EndpointLoad = {
	readonly endpoint: core.model.EndpointId;
	readonly report: loadReport.LoadReport;
	/** Milliseconds since the report was read, at the time of sending. */
	readonly ageMs: number;
};

/** Loads that the receiver may not know so far. */
export type LoadDigest = {
	readonly type: peerMessageType.PeerMessageType.LoadDigest;
	readonly loads: readonly EndpointLoad[];
};

/** Returns whether a decoded message is a well-formed notice. */
export function isEndpointNotice(message: {readonly type: peerMessageType.PeerMessageType}): message is EndpointNotice {
	const notice = message as Partial<Record<keyof EndpointNotice, unknown>>;
	const draining = notice.draining as Partial<Record<'fencing' | 'endpoints', unknown>> | undefined;
	return typeof notice.origin === 'string'
		&& typeof notice.sequence === 'number'
		&& Array.isArray(notice.leaving)
		&& (draining === undefined || (typeof draining.fencing === 'number' && Array.isArray(draining.endpoints)));
}

/** Returns whether a decoded message is a well-formed digest. */
export function isLoadDigest(message: {readonly type: peerMessageType.PeerMessageType}): message is LoadDigest {
	const {loads} = message as {loads?: unknown};
	return Array.isArray(loads) && loads.every((load: unknown) => (
		typeof load === 'object' && load !== null
		&& typeof (load as EndpointLoad).endpoint === 'string'
		&& typeof (load as EndpointLoad).report === 'object'
		&& typeof (load as EndpointLoad).report?.incarnation === 'string'
		&& typeof (load as EndpointLoad).report?.sequence === 'number'
	));
}
