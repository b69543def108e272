/** Type of a call to the key-value service, by which calls are counted. */
export enum KvCallType {
	Range = 'range',
	Txn = 'txn',
	LeaseGrant = 'lease_grant',
	LeaseKeepAlive = 'lease_keep_alive',
	LeaseRevoke = 'lease_revoke',
	/** Counted once when it is opened, however long it stays open. */
	Watch = 'watch',
}
