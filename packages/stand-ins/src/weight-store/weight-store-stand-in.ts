import * as fault from '../fault/index.js';
import * as util from '../util/index.js';

/** Options of a weight store stand-in. */
export type WeightStoreOptions = fault.StandInOptions & {
	/** Duration of a load at full rate, in milliseconds; default 1,000. */
	readonly loadMs?: number;
	/** Number of concurrent loads beyond which all loads slow down; default 3. */
	readonly maxConcurrentLoads?: number;
};

const defaultLoadMs = 1000;
const defaultMaxConcurrentLoads = 3;
const loadStepMs = 10;
const loadPathPattern = /^\/v1\/weights\/([^/]+)\/load$/;

/** Counts of loads, returned by `GET /counts` on the fault port. */
export type WeightStoreCounts = {
	readonly loads: number;
	readonly mostConcurrentLoads: number;
};

/** Stand-in for the weight store, whose total rate is limited: `POST /v1/weights/<weights>/load` answers when the load is done. */
export class WeightStoreStandIn implements fault.StandIn {
	readonly server: fault.StandInServer;
	readonly #loadMs: number;
	readonly #maxConcurrentLoads: number;
	#runningLoads = 0;
	#loadCount = 0;
	#mostConcurrentLoads = 0;

	constructor(options: WeightStoreOptions) {
		this.#loadMs = options.loadMs ?? defaultLoadMs;
		this.#maxConcurrentLoads = options.maxConcurrentLoads ?? defaultMaxConcurrentLoads;
		this.server = new fault.StandInServer(options, async (req, res) => {
			const match = loadPathPattern.exec(util.pathOf(req));
			if (req.method !== 'POST' || !match) {
				util.sendJson(res, 404, {message: 'unknown path'});
				return;
			}

			await this.#runLoad();
			await this.server.faults.waitBeforeResponse();
			util.sendJson(res, 200, {weights: decodeURIComponent(match[1]!)});
		}, {counts: () => this.counts()});
	}

	async start(): Promise<fault.StandInAddresses> {
		return this.server.start();
	}

	async stop(): Promise<void> {
		await this.server.stop();
	}

	/** Returns the counts of loads so far. */
	counts(): WeightStoreCounts {
		return {loads: this.#loadCount, mostConcurrentLoads: this.#mostConcurrentLoads};
	}

	/** Runs one load in steps; beyond `maxConcurrentLoads` the loads share the total rate evenly. */
	async #runLoad(): Promise<void> {
		this.#runningLoads += 1;
		this.#loadCount += 1;
		this.#mostConcurrentLoads = Math.max(this.#mostConcurrentLoads, this.#runningLoads);
		let completedMs = 0;
		while (completedMs < this.#loadMs) {
			await util.sleep(loadStepMs); // eslint-disable-line no-await-in-loop
			completedMs += loadStepMs * Math.min(1, this.#maxConcurrentLoads / this.#runningLoads);
		}

		this.#runningLoads -= 1;
	}
}

/** Creates a weight store stand-in. */
export function createWeightStore(options: WeightStoreOptions = {}): WeightStoreStandIn {
	return new WeightStoreStandIn(options);
}
