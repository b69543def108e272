import type * as model from '../model/index.js';
import type * as ledgerEntry from './ledger-entry.js';

/** Type of an operation on a shard. */
export enum OperationType {
	/** Records an intent. */
	Propose = 'propose',
	/** Records the result of an attempt. */
	Settle = 'settle',
}

/** An operation that records an intent. */
export type ProposeOperation = {
	readonly type: OperationType.Propose;
	readonly intent: ledgerEntry.Intent;
	/** Router that requested the operation and receives the verdict. */
	readonly origin: model.VmId;
	/** Time of queueing, by the clock of the router that queued the operation. */
	readonly queuedAt: number;
	/** Calls with this id or a higher one were started after the operation was queued. */
	readonly nextCallIdWhenQueued: number;
	/** Time at which the operation is dropped without a verdict, unless it may have been written. */
	readonly waitUntil: number;
	/** Whether a write that contained the operation ended with an unknown result. */
	readonly maybeWritten: boolean;
};

/** An operation that records the result of an attempt. */
export type SettleOperation = {
	readonly type: OperationType.Settle;
	readonly settlement: ledgerEntry.Settlement;
	readonly origin: model.VmId;
	readonly queuedAt: number;
	/** Calls with this id or a higher one were started after the operation was queued. */
	readonly nextCallIdWhenQueued: number;
};

/** An operation that waits to be committed to a shard. */
export type ShardOperation = ProposeOperation | SettleOperation;

/** An operation before it is queued. */
export type NewOperation = Omit<ProposeOperation, 'nextCallIdWhenQueued'> | Omit<SettleOperation, 'nextCallIdWhenQueued'>;
