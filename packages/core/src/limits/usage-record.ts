import type * as model from '../model/index.js';

/** What one router has admitted for one account since its start. */
export type AccountUsage = {
	readonly account: model.AccountId;
	readonly requests: number;
	/** Prompt and generated tokens. */
	readonly tokens: number;
};

/** What one router has admitted since its start; sums, so that a lost record costs no count. */
export type UsageRecord = {
	readonly vm: model.VmId;
	readonly incarnation: model.Incarnation;
	/** Grows with each record of an incarnation. */
	readonly sequence: number;
	/** Accounts that were admitted at all. */
	readonly accounts: readonly AccountUsage[];
};
