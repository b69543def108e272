import type * as model from '../model/index.js';

/** First part of the text form of an issued key; identifies the format. */
const formatPrefix = 'bbm1';

/** An idempotency key that a router issued. Only the incarnation that issued it handles requests with it. */
export type IssuedKey = {
	readonly vm: model.VmId;
	readonly incarnation: model.Incarnation;
	/** Issue time by the issuer's clock, in milliseconds since the Unix epoch. */
	readonly issuedAt: number;
	readonly account: model.AccountId;
	/** Unique among the keys that the incarnation issued. */
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

/**
 * Returns the text form of a key: `bbm1.<vm>.<incarnation>.<issue time in base 36>.<account>.<nonce>`.
 * The parts are percent-encoded, so the text can be used as the value of an HTTP header.
 */
export function formatIssuedKey(key: IssuedKey): string {
	const parts = [key.vm, key.incarnation, key.issuedAt.toString(36), key.account, key.nonce];
	return [formatPrefix, ...parts.map(part => encodePart(part))].join('.');
}

/** Parses the text form of a key. Returns `undefined` for any other text, such as a key that the caller chose. */
export function parseIssuedKey(text: string): IssuedKey | undefined {
	const [prefix, ...parts] = text.split('.');
	if (prefix !== formatPrefix || parts.length !== 5) {
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

/** Where a request with an issued key is handled. */
export enum IssuedKeyRoute {
	/** This incarnation issued the key and handles the request itself. */
	Local = 'here',
	/** The issuing incarnation is a live member: the request is forwarded to it. */
	Forward = 'forward',
	/** The issuing incarnation no longer exists: the request may have been executed and is not sent again. */
	IssuerGone = 'gone',
	/** The key was issued to another account: the request is not sent. */
	OtherAccount = 'other_account',
}

/** Options of {@link routeIssuedKey}. */
export type IssuedKeyRouteOptions = {
	readonly account: model.AccountId;
	readonly self: {readonly vm: model.VmId; readonly incarnation: model.Incarnation};
	readonly isLive: (vm: model.VmId, incarnation: model.Incarnation) => boolean;
};

/** Decides which router handles a request with an issued key. */
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
