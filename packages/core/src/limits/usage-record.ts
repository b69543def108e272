import type * as model from '../model/index.js';

/** Usage of one account that one router has admitted since its start. */
export type AccountUsage = {
	readonly account: model.AccountId;
	readonly requests: number;
	/** Prompt and generated tokens. */
	readonly tokens: number;
};

/** Usage that one router has admitted since its start. Totals are cumulative, so a lost record loses no usage. */
export type UsageRecord = {
	readonly vm: model.VmId;
	readonly incarnation: model.Incarnation;
	/** Increases with each record of an incarnation. */
	readonly sequence: number;
	/** Accounts with any usage. */
	readonly accounts: readonly AccountUsage[];
};
