import {Buffer} from 'node:buffer';
import type * as client from './key-value-client.js';

/** Header of each answer; 64-bit numbers are decimal text. */
export type EtcdHeader = {readonly revision?: string};

/** A key-value pair; bytes are base64. */
export type EtcdKeyValue = {
	readonly key: string;
	readonly value?: string;
	readonly mod_revision?: string;
};

/** Answer of `POST /v3/kv/range`. */
export type EtcdRangeAnswer = {
	readonly header?: EtcdHeader;
	readonly kvs?: readonly EtcdKeyValue[];
};

/** Answer of `POST /v3/kv/txn`. */
export type EtcdTxnAnswer = {
	readonly header?: EtcdHeader;
	readonly succeeded?: boolean;
	readonly responses?: ReadonlyArray<{readonly response_range?: EtcdRangeAnswer}>;
};

/** Answer of `POST /v3/lease/grant`, and `result` of a keep-alive. Zero numbers are left out. */
export type EtcdLeaseAnswer = {
	readonly ID?: string;
	readonly TTL?: string;
};

/** `result` of one line of `POST /v3/watch`. */
export type EtcdWatchResult = {
	readonly header?: EtcdHeader;
	readonly created?: boolean;
	readonly canceled?: boolean;
	readonly cancel_reason?: string;
	readonly compact_revision?: string;
	readonly events?: ReadonlyArray<{readonly type?: string; readonly kv: EtcdKeyValue}>;
};

/** Body of a failed call. */
export type EtcdFailure = {
	readonly code?: number;
	readonly message?: string;
};

/** gRPC status codes that the gateway names in a failure. */
export enum EtcdStatus {
	InvalidArgument = 3,
	NotFound = 5,
	ResourceExhausted = 8,
}

/** Encodes text or bytes as base64. */
export function encode(data: string | Uint8Array): string {
	return Buffer.from(data as Uint8Array).toString('base64');
}

/** Decodes base64 to text. */
export function decodeText(data: string): string {
	return Buffer.from(data, 'base64').toString('utf8');
}

/** Decodes base64 to bytes. */
export function decodeBytes(data: string | undefined): Uint8Array {
	return Buffer.from(data ?? '', 'base64');
}

/** Returns the smallest key above all keys that start with `prefix`, as base64. */
export function endOfPrefix(prefix: string): string {
	const bytes = Buffer.from(prefix);
	let {length} = bytes;
	while (length > 0 && bytes[length - 1] === 0xFF) {
		length -= 1;
	}

	if (length === 0) {
		return encode('\0');
	}

	const end = Buffer.from(bytes.subarray(0, length));
	end[length - 1]! += 1;
	return end.toString('base64');
}

/** Converts a pair to an entry. */
export function toEntry(pair: EtcdKeyValue): client.KvEntry {
	return {
		key: decodeText(pair.key),
		value: decodeBytes(pair.value),
		revision: Number(pair.mod_revision ?? 0),
	};
}
