import process from 'node:process';
import type * as check from '../../check/index.js';
import type * as fault from '../../fault/index.js';
import * as usersPlatform from '../../users-platform/index.js';
import * as util from '../../util/index.js';
import * as gatewayProcess from './gateway-process.js';
import * as platformConfig from './platform-config.js';
import * as platformOperator from './platform-operator.js';
import * as platformAction from './platform-action.js';
import * as schedulingRecord from './scheduling-record.js';
import * as serverFleet from './server-fleet.js';

/** Options of a system. */
export type PlatformSystemOptions = {
	readonly seed: number;
	readonly sizes: platformAction.PlatformSizes;
	readonly bounds: check.platform.Bounds;
	readonly streamEvents: number;
	readonly folder: string;
	/** Root of the repository. */
	readonly root: string;
};

const probeIntervalMs = 1000;
const sampleIntervalMs = 1000;
const startPollMs = 50;
const maxStartMs = 30_000;

/** The deployed gateways as processes, the stand-ins of the users' store and servers in this process, and the operator. */
export class PlatformSystem {
	readonly store = new usersPlatform.UsersStoreStandIn({era: 1, keepsPort: false});
	readonly operator: platformOperator.PlatformOperator;
	readonly fleet: serverFleet.ServerFleet;
	readonly scheduling = new schedulingRecord.SchedulingRecord();
	gateways: gatewayProcess.GatewayProcess[] = [];
	#probeTimer: NodeJS.Timeout | undefined;
	#sampleTimer: NodeJS.Timeout | undefined;

	constructor(private readonly options: PlatformSystemOptions) {
		this.operator = new platformOperator.PlatformOperator(this.store, new util.Random(options.seed));
		this.fleet = new serverFleet.ServerFleet({
			store: this.store, random: new util.Random(options.seed), streamEvents: options.streamEvents,
		});
	}

	/** Starts everything and waits until all gateways are ready. */
	async start(): Promise<void> {
		await this.store.start();
		this.operator.start();
		await this.#startServers();
		this.fleet.start();
		const {folder, root, bounds, sizes} = this.options;
		const {server} = this.store;
		const store: fault.LinkTarget = {
			host: '127.0.0.1',
			get port() {
				return server.port;
			},
		};
		const network = gatewayProcess.chooseNetwork();
		this.gateways = Array.from({length: sizes.gateways}, (_, index) => new gatewayProcess.GatewayProcess({
			name: `gateway-${index}`, host: `${network}.${index + 1}`, folder, root, store, bounds, dataCentre: platformAction.dataCentreOf(index, sizes),
		}));
		await Promise.all(this.gateways.map(async gateway => gateway.prepare()));
		for (const gateway of this.gateways) {
			gateway.start();
		}

		this.#sampleTimer = setInterval(() => {
			this.scheduling.sample('soak', process.pid, Date.now());
			for (const gateway of this.gateways) {
				this.scheduling.sample(gateway.name, gateway.pid, Date.now());
			}
		}, sampleIntervalMs);
		await this.#waitUntilReady();
		this.#probeTimer = setInterval(() => {
			for (const gateway of this.gateways) {
				void gateway.probe();
			}
		}, probeIntervalMs);
	}

	/** Ends all processes and stand-ins that the system started. */
	async stop(): Promise<void> {
		clearInterval(this.#probeTimer);
		clearInterval(this.#sampleTimer);
		for (const gateway of this.gateways) {
			gateway.stop();
		}

		await this.fleet.stop();
		await this.store.stop();
	}

	/** Returns the gateway that holds the leader's lease. */
	findLeader(): gatewayProcess.GatewayProcess | undefined {
		const name = this.store.read('bluebellmast/leader')?.split(' ')[1];
		return this.gateways.find(gateway => gateway.name === name);
	}

	async #startServers(): Promise<void> {
		for (const {name, model} of platformConfig.services) {
			const count = model === undefined ? this.options.sizes.runners : this.options.sizes.engines;
			for (let index = 0; index < count; index++) {
				await this.fleet.add(`${name}-${index}`, name, model, platformAction.dataCentreOf(index, this.options.sizes)); // eslint-disable-line no-await-in-loop -- One after the other.
			}
		}
	}

	async #waitUntilReady(): Promise<void> {
		for (let waitedMs = 0; waitedMs < maxStartMs; waitedMs += startPollMs) {
			await Promise.all(this.gateways.map(async gateway => gateway.probe())); // eslint-disable-line no-await-in-loop -- A poll.
			if (this.gateways.every(({isInRotation}) => isInRotation)) {
				return;
			}

			await util.sleep(startPollMs); // eslint-disable-line no-await-in-loop -- A poll.
		}

		throw new Error('the gateways were not ready in time');
	}
}
