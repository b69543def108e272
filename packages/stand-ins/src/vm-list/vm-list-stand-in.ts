import type * as clients from '@bluebellmast/kv';
import * as fault from '../fault/index.js';
import * as util from '../util/index.js';

/** Options of a VM list stand-in. */
export type VmListOptions = fault.StandInOptions & {
	/** Delay until a change shows in the list, in milliseconds; default 2,000. */
	readonly lagMs?: number;
	/** VMs that are listed at the start; default none. */
	readonly vms?: readonly clients.vms.ListedVm[];
};

type VmListChange = {readonly at: number; readonly vms: readonly clients.vms.ListedVm[]};

const defaultLagMs = 2000;

/** Stand-in for the platform's list of VMs, which lags: `GET /v1/vms` reads it, `PUT /v1/vms` replaces it after the lag. */
export class VmListStandIn implements fault.StandIn {
	readonly server: fault.StandInServer;
	readonly #lagMs: number;
	#changes: VmListChange[];

	constructor(options: VmListOptions) {
		this.#lagMs = options.lagMs ?? defaultLagMs;
		this.#changes = [{at: 0, vms: options.vms ?? []}];
		this.server = new fault.StandInServer(options, async (req, res) => {
			if (req.method === 'PUT') {
				this.set(await util.readJson(req) as clients.vms.ListedVm[]);
			}

			await this.server.faults.waitBeforeResponse();
			util.sendJson(res, 200, this.#listAt(Date.now() - this.#lagMs));
		});
	}

	/** Replaces the list; the change shows after the lag. */
	set(vms: readonly clients.vms.ListedVm[]): void {
		this.#changes.push({at: Date.now(), vms});
	}

	async start(): Promise<fault.StandInAddresses> {
		return this.server.start();
	}

	async stop(): Promise<void> {
		await this.server.stop();
	}

	#listAt(time: number): readonly clients.vms.ListedVm[] {
		const index = this.#changes.findLastIndex(change => change.at <= time);
		this.#changes = this.#changes.slice(Math.max(index, 0));
		return this.#changes[0]!.vms;
	}
}

/** Creates a VM list stand-in. */
export function createVmList(options: VmListOptions = {}): VmListStandIn {
	return new VmListStandIn(options);
}
