import type * as model from '../model/index.js';
import type * as ledgerEntry from './ledger-entry.js';

/** What an operation does to a shard. */
export enum OperationType {
	Propose = 'propose',
	Settle = 'settle',
}

/** Records an intent. */
export type ProposeOperation = {
	readonly type: OperationType.Propose;
	readonly intent: ledgerEntry.Intent;
	/** Router that asked and gets the verdict. */
	readonly origin: model.VmId;
	/** When it was queued, by the clock of the deciding router. */
	readonly queuedAt: number;
	/** Calls with this number or a later one began after the operation was queued. */
	readonly nextCallIdWhenQueued: number;
	/** When it is dropped unanswered. */
	readonly waitUntil: number;
	/** Whether a write that contains it had an unknown outcome. */
	readonly maybeWritten: boolean;
};

/** Records how an attempt came out. */
export type SettleOperation = {
	readonly type: OperationType.Settle;
	readonly settlement: ledgerEntry.Settlement;
	readonly origin: model.VmId;
	readonly queuedAt: number;
	/** Calls with this number or a later one began after the operation was queued. */
	readonly nextCallIdWhenQueued: number;
};

/** A change that waits to be committed to a shard. */
export type ShardOperation = ProposeOperation | SettleOperation;

/** An operation that is not queued yet. */
export type NewOperation = Omit<ProposeOperation, 'nextCallIdWhenQueued'> | Omit<SettleOperation, 'nextCallIdWhenQueued'>;
