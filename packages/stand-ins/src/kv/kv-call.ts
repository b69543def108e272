/* eslint-disable @typescript-eslint/naming-convention -- Paths of the protocol. */
/** Types of calls, as counted by the stand-in. */
export enum KvCall {
	Range = 'range',
	Txn = 'txn',
	LeaseGrant = 'lease_grant',
	LeaseKeepAlive = 'lease_keep_alive',
	LeaseRevoke = 'lease_revoke',
	Watch = 'watch',
	/** A call refused by the rate limit; it is also counted under its own type. */
	RateLimited = 'rate_limited',
}

/** Call types of the protocol. */
export type ProtocolCall = Exclude<KvCall, KvCall.RateLimited>;

/** Call types by request path. */
export const callsByPath: Readonly<Record<string, ProtocolCall>> = {
	'/v3/kv/range': KvCall.Range,
	'/v3/kv/txn': KvCall.Txn,
	'/v3/lease/grant': KvCall.LeaseGrant,
	'/v3/lease/keepalive': KvCall.LeaseKeepAlive,
	'/v3/lease/revoke': KvCall.LeaseRevoke,
	'/v3/watch': KvCall.Watch,
};

const reads: ReadonlySet<ProtocolCall> = new Set([KvCall.Range, KvCall.Watch]);

/** Returns whether a call only reads. */
export function isRead(call: ProtocolCall): boolean {
	return reads.has(call);
}
