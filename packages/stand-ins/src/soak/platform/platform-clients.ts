import * as http from 'node:http';
import * as check from '../../check/index.js';
import * as util from '../../util/index.js';
import type * as gatewayProcess from './gateway-process.js';
import * as platformClient from './platform-client.js';
import type * as platformSystem from './platform-system.js';

const clientCount = 16;
const requestsPerSecond = 50;
const millisecondsPerSecond = 1000;
const minDeadlineMs = 800;
const maxDeadlineMs = 7000;
const reuseShare = 0.8;
const giveUpShare = 0.06;
const maxGiveUpMs = 500;
const repeatShare = 0.5;
const maxRepeats = 2;
/** Share of the interrupted streams that a client resumes at once. */
const resumeShare = 0.7;

/** Clients with connections that they keep, which send requests at random times. */
export class PlatformClients {
	readonly exchanges: check.platform.Exchange[] = [];
	/** Ids of requests that have not ended. */
	readonly openIds = new Set<string>();
	/** Multiplies the rate of requests. */
	rateFactor = 1;
	/** Share of the requests whose prompt has the part on which engines end. */
	crashingShare = 0;
	readonly #agents = new Map<string, http.Agent>();
	readonly #random: util.Random;
	#sending: Promise<unknown> = Promise.resolve();
	#requestNumber = 0;

	constructor(private readonly system: platformSystem.PlatformSystem, seed: number) {
		this.#random = new util.Random(seed);
	}

	/** Sends requests for a time, and waits until all have ended. */
	async run(durationMs: number): Promise<void> {
		const endsAt = Date.now() + durationMs;
		while (Date.now() < endsAt) {
			await util.sleep(this.#random.exponential(millisecondsPerSecond / (requestsPerSecond * this.rateFactor))); // eslint-disable-line no-await-in-loop -- Random arrivals.
			const client = this.#random.integer(0, clientCount - 1);
			this.#sending = Promise.all([this.#sending, this.#send(client, 0)]);
		}

		await this.#sending;
	}

	/** Closes all connections. */
	stop(): void {
		for (const agent of this.#agents.values()) {
			agent.destroy();
		}
	}

	/** @param interrupted - Stream that the request resumes. */
	async #send(client: number, repeats: number, interrupted?: check.platform.Exchange): Promise<void> {
		const gateway = this.#chooseGateway(client);
		const random = this.#random;
		this.#requestNumber += 1;
		const id = `q-${this.#requestNumber}`;
		const route = interrupted === undefined ? this.system.operator.pickRoute(random) : this.system.operator.findRoute(interrupted.route);
		const request: platformClient.ClientRequest = {
			...platformClient.createRequest(id, route, this.system.operator.pickKey(random, route), random.integer(minDeadlineMs, maxDeadlineMs)),
			...(interrupted !== undefined && {key: interrupted.key, resumedAfter: platformClient.countEvents(interrupted)}),
			hasCrashingPart: this.crashingShare > 0 && random.chance(this.crashingShare),
			...(random.chance(giveUpShare) && {givesUpAfterMs: random.integer(1, maxGiveUpMs)}),
		};
		const repeatsAtOnce = random.chance(repeatShare);
		this.openIds.add(id);
		const exchange = await platformClient.sendRequest(gateway, this.#agentOf(client, gateway), request);
		this.openIds.delete(id);
		this.exchanges.push(exchange);
		if (repeats < maxRepeats && isResumable(exchange) && random.chance(resumeShare)) {
			await this.#send(client, repeats + 1, exchange);
			return;
		}

		const isServed = exchange.end === check.platform.ExchangeEnd.Complete && exchange.status === 200;
		if (!isServed && repeatsAtOnce && repeats < maxRepeats) {
			await this.#send(client, repeats + 1);
		}
	}

	/** Chooses a gateway to which the client has an idle connection, or one that the platform forwards new connections to. */
	#chooseGateway(client: number): gatewayProcess.GatewayProcess {
		const {gateways} = this.system;
		const idle = gateways.filter(gateway => Object.values(this.#agentOf(client, gateway).freeSockets).some(sockets => sockets!.length > 0));
		if (idle.length > 0 && this.#random.chance(reuseShare)) {
			return this.#random.pick(idle);
		}

		const inRotation = gateways.filter(({isInRotation}) => isInRotation);
		return this.#random.pick(inRotation.length * 2 < gateways.length ? gateways : inRotation);
	}

	#agentOf(client: number, gateway: gatewayProcess.GatewayProcess): http.Agent {
		const name = `${client} ${gateway.name}`;
		const agent = this.#agents.get(name) ?? new http.Agent({keepAlive: true, maxFreeSockets: 2});
		this.#agents.set(name, agent);
		return agent;
	}
}

/** Returns whether a stream broke off, or its client left, after some of its events. */
function isResumable(exchange: check.platform.Exchange): boolean {
	const events = platformClient.countEvents(exchange);
	return exchange.kind === check.platform.RequestKind.Resumable && exchange.end !== check.platform.ExchangeEnd.Complete
		&& exchange.status === 200 && events > 0 && events < check.platform.streamEvents;
}
