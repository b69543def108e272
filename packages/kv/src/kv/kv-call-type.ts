/** Type of a call to the key-value service, for counting. */
export enum KvCallType {
	Range = 'range',
	Txn = 'txn',
	LeaseGrant = 'lease_grant',
	LeaseKeepAlive = 'lease_keep_alive',
	LeaseRevoke = 'lease_revoke',
	/** A watch counts as one call, however long it waits. */
	Watch = 'watch',
}
