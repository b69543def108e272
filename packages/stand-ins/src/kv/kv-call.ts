/* eslint-disable @typescript-eslint/naming-convention -- Paths of the protocol. */
/** Type of a call, as counted. */
export enum KvCall {
	Range = 'range',
	Txn = 'txn',
	LeaseGrant = 'lease_grant',
	LeaseKeepAlive = 'lease_keep_alive',
	LeaseRevoke = 'lease_revoke',
	Watch = 'watch',
	/** Refused for the rate; also counted under its own type. */
	RateLimited = 'rate_limited',
}

/** A call that the protocol has. */
export type ProtocolCall = Exclude<KvCall, KvCall.RateLimited>;

/** Calls by the path of their request. */
export const callsByPath: Readonly<Record<string, ProtocolCall>> = {
	'/v3/kv/range': KvCall.Range,
	'/v3/kv/txn': KvCall.Txn,
	'/v3/lease/grant': KvCall.LeaseGrant,
	'/v3/lease/keepalive': KvCall.LeaseKeepAlive,
	'/v3/lease/revoke': KvCall.LeaseRevoke,
	'/v3/watch': KvCall.Watch,
};

const reads: ReadonlySet<ProtocolCall> = new Set([KvCall.Range, KvCall.Watch]);

/** Returns whether a call changes nothing. */
export function isRead(call: ProtocolCall): boolean {
	return reads.has(call);
}
