import type * as clients from '@bluebellmast/kv';
import * as fault from '../fault/index.js';
import * as util from '../util/index.js';

/** Options of the VM list stand-in. */
export type VmListOptions = fault.StandInOptions & {
	/** Milliseconds by which the list lags behind changes; default 2,000. */
	readonly lagMs?: number;
	/** VMs listed from the start. */
	readonly vms?: readonly clients.vms.ListedVm[];
};

type VmListChange = {readonly at: number; readonly vms: readonly clients.vms.ListedVm[]};

const defaultLagMs = 2000;

/** The platform's lagging list of VMs: `GET /v1/vms` reads it, `PUT /v1/vms` sets what it will show after the lag. */
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

			await this.server.faults.waitBeforeAnswer();
			util.sendJson(res, 200, this.#listAt(Date.now() - this.#lagMs));
		});
	}

	/** Sets the true list; it shows after the lag. */
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
