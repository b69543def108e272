import type * as model from '../model/index.js';

/** First part of the text form of an issued key. */
const formatPrefix = 'bbm1';

/** An idempotency key that a router issued. Only the issuing incarnation ever sends a request with it. */
export type IssuedKey = {
	readonly vm: model.VmId;
	readonly incarnation: model.Incarnation;
	/** In milliseconds since the epoch, by the issuer's clock. */
	readonly issuedAt: number;
	readonly account: model.AccountId;
	/** Unique among the keys of the incarnation. */
	readonly nonce: string;
};

function encodePart(text: string): string {
	return encodeURIComponent(text).replaceAll('.', '%2E');
}

function decodePart(text: string): string | undefined {
	try {
		return decodeURIComponent(text);
	} catch {
		return undefined;
	}
}

/** Returns the text form of a key: `bbm1.<vm>.<incarnation>.<issue time>.<account>.<nonce>`, safe in a header. */
export function formatIssuedKey(key: IssuedKey): string {
	const parts = [key.vm, key.incarnation, key.issuedAt.toString(36), key.account, key.nonce];
	return [formatPrefix, ...parts.map(part => encodePart(part))].join('.');
}

/** Parses the text form of a key. Returns `undefined` for any other text, such as a key that a caller chose. */
export function parseIssuedKey(text: string): IssuedKey | undefined {
	const [mark, ...parts] = text.split('.');
	if (mark !== formatPrefix || parts.length !== 5) {
		return undefined;
	}

	const [vm, incarnation, issuedText, account, nonce] = parts.map(part => decodePart(part));
	const issuedAt = Number.parseInt(issuedText ?? '', 36);
	if (!vm || !incarnation || !account || !nonce || !Number.isSafeInteger(issuedAt)) {
		return undefined;
	}

	const key = {
		vm, incarnation, issuedAt, account, nonce,
	};
	return formatIssuedKey(key) === text ? key : undefined;
}

/** Where a request with an issued key goes. */
export enum IssuedKeyRoute {
	/** This router issued the key and decides. */
	Local = 'here',
	/** The issuing incarnation is a live member: hand the request to it. */
	Forward = 'forward',
	/** The issuing incarnation is gone: the request may have run, and never runs again. */
	IssuerGone = 'gone',
	/** The key was issued to another account: nothing runs. */
	OtherAccount = 'other_account',
}

/** Options of {@link routeIssuedKey}. */
export type IssuedKeyRouteOptions = {
	readonly account: model.AccountId;
	readonly self: {readonly vm: model.VmId; readonly incarnation: model.Incarnation};
	readonly isLive: (vm: model.VmId, incarnation: model.Incarnation) => boolean;
};

/** Decides where a request with an issued key goes. */
export function routeIssuedKey(key: IssuedKey, options: IssuedKeyRouteOptions): IssuedKeyRoute {
	const {account, self, isLive} = options;
	if (key.account !== account) {
		return IssuedKeyRoute.OtherAccount;
	}

	if (key.vm === self.vm && key.incarnation === self.incarnation) {
		return IssuedKeyRoute.Local;
	}

	return key.vm !== self.vm && isLive(key.vm, key.incarnation) ? IssuedKeyRoute.Forward : IssuedKeyRoute.IssuerGone;
}
