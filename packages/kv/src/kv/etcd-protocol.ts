import {Buffer} from 'node:buffer';
import type * as client from './key-value-client.js';

/** Header of each response. The JSON gateway encodes 64-bit integers as decimal strings. */
export type EtcdResponseHeader = {readonly revision?: string};

/** A key-value pair; key and value are base64, and an empty value is omitted. */
export type EtcdKeyValue = {
	readonly key: string;
	readonly value?: string;
	readonly mod_revision?: string;
};

/** Response to `POST /v3/kv/range`. */
export type EtcdRangeResponse = {
	readonly header?: EtcdResponseHeader;
	readonly kvs?: readonly EtcdKeyValue[];
};

/** Response to `POST /v3/kv/txn`. */
export type EtcdTxnResponse = {
	readonly header?: EtcdResponseHeader;
	readonly succeeded?: boolean;
	readonly responses?: ReadonlyArray<{readonly response_range?: EtcdRangeResponse}>;
};

/** Response to `POST /v3/lease/grant`, and `result` in the response to a keep-alive. Fields that are zero are omitted. */
export type EtcdLeaseResponse = {
	readonly ID?: string;
	readonly TTL?: string;
};

/** `result` in one line of the response to `POST /v3/watch`. */
export type EtcdWatchResult = {
	readonly header?: EtcdResponseHeader;
	readonly created?: boolean;
	readonly canceled?: boolean;
	readonly cancel_reason?: string;
	readonly compact_revision?: string;
	readonly events?: ReadonlyArray<{readonly type?: string; readonly kv: EtcdKeyValue}>;
};

/** Response body of a failed call. */
export type EtcdErrorBody = {
	readonly code?: number;
	readonly message?: string;
};

/** gRPC status codes that are handled in the body of a failed call. */
export enum GrpcStatusCode {
	InvalidArgument = 3,
	NotFound = 5,
	ResourceExhausted = 8,
}

/** Encodes bytes, or text as UTF-8, in base64. */
export function encodeBase64(data: string | Uint8Array): string {
	return Buffer.from(data as Uint8Array).toString('base64');
}

/** Decodes base64 to UTF-8 text. */
export function decodeBase64Text(data: string): string {
	return Buffer.from(data, 'base64').toString('utf8');
}

/** Decodes base64 to bytes. */
export function decodeBase64Bytes(data: string | undefined): Uint8Array {
	return Buffer.from(data ?? '', 'base64');
}

/** Returns, in base64, the `range_end` of a prefix: the smallest key above all keys that start with it. */
export function encodePrefixEnd(prefix: string): string {
	const bytes = Buffer.from(prefix);
	let {length} = bytes;
	while (length > 0 && bytes[length - 1] === 0xFF) {
		length -= 1;
	}

	if (length === 0) {
		return encodeBase64('\0');
	}

	const end = Buffer.from(bytes.subarray(0, length));
	end[length - 1]! += 1;
	return end.toString('base64');
}

export function toEntry(pair: EtcdKeyValue): client.KvEntry {
	return {
		key: decodeBase64Text(pair.key),
		value: decodeBase64Bytes(pair.value),
		revision: Number(pair.mod_revision ?? 0),
	};
}
