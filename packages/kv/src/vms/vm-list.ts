import type * as core from '@bluebellmast/core';

/** One VM as the platform lists it; the list lags. */
export type ListedVm = {
	readonly vm: core.model.VmId;
	/** IP number. */
	readonly host: string;
	/** Port for links between routers. */
	readonly peerPort: number;
	readonly dataCentre: core.model.DataCentreId;
	/** Whether the platform is about to remove the VM. */
	readonly leaving: boolean;
};

/** Reads the platform's list of VMs. */
export interface VmListClient { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Returns the list, or `undefined` when the platform does not answer in time. */
	list(): Promise<readonly ListedVm[] | undefined>;
}
