import type * as vmList from './vm-list.js';

/** Used when the platform has no list of VMs: always returns `undefined`. */
export class NullVmListClient implements vmList.VmListClient {
	async list(): Promise<undefined> {
		return undefined;
	}
}
