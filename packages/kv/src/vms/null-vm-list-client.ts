import type * as vmList from './vm-list.js';

/** Stands where the platform offers no list of VMs: it never answers. */
export class NullVmListClient implements vmList.VmListClient {
	async list(): Promise<undefined> {
		return undefined;
	}
}
