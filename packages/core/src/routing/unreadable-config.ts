import type * as gatewayConfig from './gateway-config.js';

/** An account and the API keys that it holds, without its other properties. */
export type AccountKeys = Pick<gatewayConfig.ApiAccount, 'name' | 'keys'>;

/** What can be read of a configuration that can't be applied as a whole. */
export type UnreadableConfig =
	| {readonly hasReadableKeys: false}
	| {
		readonly hasReadableKeys: true;
		/** Absent if the configuration asks for no keys. */
		readonly accounts?: readonly AccountKeys[];
	};

/** Returns accounts without the keys that an unreadable configuration does not list for the same account. */
export function retainListedKeys(accounts: readonly gatewayConfig.ApiAccount[], listed: readonly AccountKeys[]): gatewayConfig.ApiAccount[] {
	const holders = new Map(listed.flatMap(({name, keys}) => keys.map(key => [key, name] as const)));
	return accounts.map(account => ({...account, keys: account.keys.filter(key => holders.get(key) === account.name)}));
}
