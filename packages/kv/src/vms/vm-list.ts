import type * as core from '@bluebellmast/core';

/** An entry of the platform's list of VMs. The list may be out of date. */
export type ListedVm = {
	readonly vm: core.model.VmId;
	/** IP address. */
	readonly host: string;
	/** Port for connections between routers. */
	readonly peerPort: number;
	readonly dataCentre: core.model.DataCentreId;
	/** Whether the platform is going to remove the VM soon. */
	readonly leaving: boolean;
};

/** Reads the platform's list of VMs. */
export interface VmListClient { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Returns the list, or `undefined` when the platform returns none in time. */
	list(): Promise<readonly ListedVm[] | undefined>;
}
