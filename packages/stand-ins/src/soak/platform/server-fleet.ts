import * as check from '../../check/index.js';
import * as fault from '../../fault/index.js';
import * as usersPlatform from '../../users-platform/index.js';
import * as util from '../../util/index.js';

/** A server stand-in with the proxy of the links to it. */
export type FleetServer = {
	readonly id: string;
	readonly service: string;
	readonly model?: string;
	readonly dataCentre: string;
	readonly standIn: usersPlatform.UsersServerStandIn;
	readonly link: fault.LinkProxy;
	readonly address: string;
	isListed: boolean;
	state: string;
	listedVersion: number;
};

/** Options of a fleet of servers. */
export type ServerFleetOptions = {
	readonly store: usersPlatform.UsersStoreStandIn;
	readonly random: util.Random;
	/** Number of events in each stream. */
	readonly streamEvents: number;
};

const refreshIntervalMs = 50;
/** Time until an engine that ended on a prompt is back. */
const restartMs = 1500;
const minLoadMs = 200;
const maxLoadMs = 2500;
/** Delay of first events, interval of events and duration of plain requests. */
const minDelayMs = 5;
const maxDelayMs = 60;

/** Servers of all services; keeps their entries in the store up to date. */
export class ServerFleet {
	readonly servers: FleetServer[] = [];
	readonly leavingPeriods: check.platform.LeavingPeriod[] = [];
	/** Ends of engines on prompts, and the times until they were back. */
	readonly crashes: check.platform.Crash[] = [];
	readonly crashDisruptions: check.platform.Disruption[] = [];
	readonly #restarts = new Set<Promise<void>>();
	/** Stand-ins of all incarnations, also of those that were replaced. */
	readonly #standIns: usersPlatform.UsersServerStandIn[] = [];
	#timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: ServerFleetOptions) {}

	start(): void {
		this.#timer = setInterval(() => {
			for (const server of this.servers.filter(({isListed, listedVersion, standIn}) => isListed && listedVersion !== standIn.version)) {
				this.list(server);
			}
		}, refreshIntervalMs);
	}

	async stop(): Promise<void> {
		clearInterval(this.#timer);
		for (const {link} of this.servers) {
			link.stop();
		}

		await Promise.all(this.#standIns.map(async standIn => standIn.stop()));
	}

	/** Starts a server and writes its entry. */
	async add(id: string, service: string, model: string | undefined, dataCentre: string): Promise<void> {
		const standIn = await this.#startStandIn(id, service, model);
		const {servers} = this;
		const index = servers.length;
		const link = new fault.LinkProxy({
			host: '127.0.0.1',
			get port() {
				return servers[index]!.standIn.server.port;
			},
		});
		const server = {
			id, service, model, dataCentre, standIn, link, address: `127.0.0.1:${await link.start()}`, isListed: false, state: 'ready', listedVersion: 0,
		};
		servers.push(server);
		this.list(server);
	}

	/** Ends a server and starts another one behind the same proxy, so at the same address, with the newest version of its model. */
	async replace(index: number, id: string, version: number): Promise<void> {
		const former = this.servers[index]!;
		this.unlist(former);
		await former.standIn.stop();
		const standIn = await this.#startStandIn(id, former.service, former.model);
		standIn.version = version;
		const server = {
			...former, id, standIn, state: 'ready',
		};
		this.servers[index] = server;
		this.list(server);
	}

	/** Waits until all engines that ended on prompts are back. */
	async waitForRestarts(): Promise<void> {
		await Promise.all(this.#restarts);
	}

	/** Writes the entry of a server. */
	list(server: FleetServer, state = server.state): void {
		server.state = state;
		server.isListed = true;
		server.listedVersion = server.standIn.version;
		this.options.store.write(`servers/${server.id}`, {...server.standIn.createRegistration(state), address: server.address, zone: server.dataCentre});
	}

	/** Writes all entries again after the store was restored from an older copy, and removes those of servers that are not listed. */
	writeAgain(): void {
		const listedIds = new Set(this.servers.filter(({isListed}) => isListed).map(({id}) => id));
		for (const {options: {id}} of this.#standIns.filter(({options}) => !listedIds.has(options.id))) {
			this.options.store.remove(`servers/${id}`);
		}

		for (const server of this.servers.filter(({isListed}) => isListed)) {
			this.list(server);
		}
	}

	/** Removes the entry of a server. */
	unlist(server: FleetServer): void {
		server.isListed = false;
		this.options.store.remove(`servers/${server.id}`);
	}

	listExecutions(): check.platform.Execution[] {
		return this.#standIns.flatMap(({executions}) => executions).map(({headers, ...execution}) => ({
			...execution,
			deadlineMs: numberOf(headers['bluebellmast-deadline-milliseconds']),
			account: textOf(headers['bluebellmast-tenant']),
			hasKey: headers['bluebellmast-credential'] !== undefined,
			hasCrashingPart: textOf(headers['bluebellmast-prompt-prefix'])?.includes(`${check.platform.crashingPart}:`),
		}));
	}

	listArrivals(): check.platform.Arrival[] {
		return this.#standIns.flatMap(({arrivals, options: {service}}) => arrivals.map(arrival => ({service, ...arrival})));
	}

	listStarts(): check.platform.Start[] {
		return this.#standIns.flatMap(({starts}) => starts);
	}

	listOrders(): check.platform.AcceptedOrder[] {
		return this.#standIns.flatMap(({orders, options}) => orders.map(({holder, fence, arrivedAt}) => ({
			server: options.id, holder, fence, at: arrivedAt,
		})));
	}

	/** Returns the version that each engine holds now. */
	listVersions(): check.platform.FinalVersion[] {
		return this.servers.filter(({model}) => model !== undefined).map(({id, standIn}) => ({server: id, version: standIn.version}));
	}

	/** Returns the model of each engine, by its id. */
	mapModels(): Record<string, string> {
		const models: Record<string, string> = {};
		for (const {options: {id, model}} of this.#standIns) {
			if (model !== undefined) {
				models[id] = model;
			}
		}

		return models;
	}

	/** Starts an engine that ended on a prompt again, as a new incarnation. */
	async #restart(id: string): Promise<void> {
		const server = this.servers.find(other => other.id === id)!;
		const disruption = {
			target: check.platform.DisruptionTarget.Server, name: id, isPlanned: false, from: Date.now(), to: Infinity,
		};
		this.crashes.push({server: id, at: disruption.from});
		this.crashDisruptions.push(disruption);
		await util.sleep(restartMs);
		server.standIn.restart();
		await server.standIn.server.applyFault({fault: fault.FaultName.Clear});
		this.list(server, 'ready');
		disruption.to = Date.now();
	}

	async #startStandIn(id: string, service: string, model?: string): Promise<usersPlatform.UsersServerStandIn> {
		const {random, streamEvents} = this.options;
		const standIn = new usersPlatform.UsersServerStandIn({
			id, service, model,
			keepsPort: false,
			identifiesRequests: true,
			crashingPart: check.platform.crashingPart,
			onCrash: () => {
				const restart = this.#restart(id);
				this.#restarts.add(restart);
			},
			eventCount: streamEvents,
			firstEventDelayMs: random.integer(minDelayMs, maxDelayMs),
			intervalMs: random.integer(minDelayMs, maxDelayMs),
			loadMs: random.integer(minLoadMs, maxLoadMs),
		});
		await standIn.start();
		this.#standIns.push(standIn);
		return standIn;
	}
}

function textOf(value: string | string[] | undefined): string | undefined {
	return Array.isArray(value) ? value[0] : value;
}

function numberOf(value: string | string[] | undefined): number | undefined {
	return value === undefined ? undefined : Number(textOf(value));
}
