import type * as core from '@bluebellmast/core';

/** Address at which a router accepts links. */
export type PeerAddress = {
	/** IP address. */
	readonly host: string;
	readonly port: number;
	/** Name of the VM, if known. */
	readonly vm?: core.model.VmId;
};

/** Returns the address as `host:port`, for use as a key. */
export function formatAddress(address: PeerAddress): string {
	return `${address.host}:${address.port}`;
}
