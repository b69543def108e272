import type * as core from '@bluebellmast/core';

/** Where a router accepts links. */
export type PeerAddress = {
	/** IP number. */
	readonly host: string;
	readonly port: number;
	/** Name of the VM where it is known. */
	readonly vm?: core.model.VmId;
};

/** Returns the text form of an address, used as key. */
export function formatAddress(address: PeerAddress): string {
	return `${address.host}:${address.port}`;
}
