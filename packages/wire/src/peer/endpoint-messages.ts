import type * as core from '@bluebellmast/core';
import type * as loadReport from '../endpoint/load-report.js';
import type * as peerMessageType from './peer-message-type.js';

/** Lists endpoints that shut down or drain. Each router forwards a notice once if it is newer than the last of its origin. */
export type EndpointNotice = {
	readonly type: peerMessageType.PeerMessageType.EndpointNotice;
	/** Incarnation of the router that created the notice. */
	readonly origin: core.model.Incarnation;
	/** Increases with each notice of an origin. */
	readonly sequence: number;
	/** Endpoints that reported to the origin that they are about to shut down, with their incarnation. */
	readonly leaving: ReadonlyArray<{
		readonly endpoint: core.model.EndpointId;
		readonly incarnation: core.model.Incarnation;
	}>;
	/** Set by the leader: engines that must receive no new requests for now, with the fencing token of the leader. */
	readonly draining?: {
		readonly fencing: number;
		readonly endpoints: readonly core.model.EndpointId[];
	};
};

/** The last load report of one endpoint. */
export type EndpointLoad = {
	readonly endpoint: core.model.EndpointId;
	readonly report: loadReport.LoadReport;
	/** Age of the report in milliseconds when the message was sent. */
	readonly ageMs: number;
};

/** Load reports that the receiver may not have. */
export type LoadDigest = {
	readonly type: peerMessageType.PeerMessageType.LoadDigest;
	readonly loads: readonly EndpointLoad[];
};

/** Returns whether a decoded message is a well-formed endpoint notice. */
export function isEndpointNotice(message: {readonly type: peerMessageType.PeerMessageType}): message is EndpointNotice {
	const notice = message as Partial<Record<keyof EndpointNotice, unknown>>;
	const draining = notice.draining as Partial<Record<'fencing' | 'endpoints', unknown>> | undefined;
	return typeof notice.origin === 'string'
		&& typeof notice.sequence === 'number'
		&& Array.isArray(notice.leaving)
		&& (draining === undefined || (typeof draining.fencing === 'number' && Array.isArray(draining.endpoints)));
}

/** Returns whether a decoded message is a well-formed load digest. */
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
