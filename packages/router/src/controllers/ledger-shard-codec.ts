import * as core from '@bluebellmast/core';
import * as cbor from 'cbor-x';
import * as purify from 'purify-ts';

/** Version of the storage format. */
const formatVersion = 1;

type StoredShard = {
	readonly version: number;
	readonly entries: readonly core.ledger.LedgerEntry[];
};

const encoder = new cbor.Encoder({useRecords: false, tagUint8Array: false});

/** Encodes a shard for the key-value service. */
export function encodeShard(shard: core.ledger.LedgerShard): Uint8Array {
	const stored: StoredShard = {version: formatVersion, entries: core.ledger.listEntries(shard)};
	return encoder.encode(stored);
}

function toShard(stored: Partial<StoredShard> | undefined): core.ledger.LedgerShard {
	if (stored?.version !== formatVersion || !Array.isArray(stored.entries)) {
		throw new TypeError('not a ledger shard of this format version');
	}

	return core.ledger.createShard(stored.entries);
}

/** Decodes a stored shard. A malformed value or one of another version is an error and is never taken for an empty shard. */
export function decodeShard(value: Uint8Array): purify.Either<string, core.ledger.LedgerShard> {
	return purify.Either.encase(() => toShard(encoder.decode(value) as Partial<StoredShard> | undefined))
		.mapLeft(err => err.message);
}
