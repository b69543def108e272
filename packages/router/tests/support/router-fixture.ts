import * as crypto from 'node:crypto';
import * as config from '@bluebellmast/config';
import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import type * as wire from '@bluebellmast/wire';
import * as standIns from '@bluebellmast/stand-ins';
import * as router from '@bluebellmast/router';

/** Options of `RouterFixture`. */
export type FixtureOptions = {
	/** Weights that each engine holds; one engine is started per entry. */
	readonly engines?: ReadonlyArray<readonly string[]>;
	/** Options of all engines. */
	readonly engine?: standIns.engine.EngineOptions;
	/** Number of runners (instances) of the booking service. Default 1. */
	readonly runners?: number;
	/** Allowed versions of the model, preferred first. */
	readonly versions?: readonly string[];
	/** Router settings that override those of the fixture. */
	readonly settings?: Readonly<Record<string, unknown>>;
};

const host = '127.0.0.1';
const operatorKey = 'operator';

/** Bearer key of the fixture's client account. */
export const accountKey = 'key-club';
/** ID of the fixture's client account. */
export const accountId = 'club';
/** ID of the fixture's model. */
export const modelId = 'lantaarn';

/** Runs one router with its key-value store, engines and services, which are in-process stand-ins. */
export class RouterFixture {
	readonly kv = standIns.kv.createKv({});
	readonly engines: standIns.engine.EngineStandIn[] = [];
	readonly runners: standIns.plainService.PlainServiceStandIn[] = [];
	#client: clients.kv.EtcdClient | undefined;
	#program: router.program.RouterProgram | undefined;
	#head: core.manifest.ManifestHead | undefined;

	/** Base URL of the router. */
	get url(): string {
		return `http://${host}:${this.#program!.port}`;
	}

	/** The router under test. */
	get program(): router.program.RouterProgram {
		return this.#program!;
	}

	async start(options: FixtureOptions = {}): Promise<void> {
		const {port} = await this.kv.start();
		const kvUrl = `http://${host}:${port}`;
		this.#client = clients.kv.createEtcdClient({baseUrls: [kvUrl]});
		const endpoints = [
			...await this.#startEngines(options),
			...await this.#startRunners(options.runners ?? 1),
		];
		await this.#apply(createContent(endpoints, options.versions ?? ['1']));
		this.#program = router.wireUp.createRouterProgram(createSettings(kvUrl, options.settings ?? {}));
		await this.#program.start();
		await this.waitUntilReady();
	}

	async stop(): Promise<void> {
		const all = [...this.engines, ...this.runners];
		await this.#program?.stop();
		await Promise.all(all.map(async part => part.stop()));
		await this.#client?.close();
		await this.kv.stop();
	}

	/** Writes the recall of a batch to the key-value store. */
	async recallBatch(batch: core.model.BatchKey): Promise<void> {
		const proposal = config.manifest.proposeRecall(this.#head, [batch], crypto.randomUUID()).unsafeCoerce();
		await this.#write(proposal);
	}

	/** Sends a request to the router with the key of the fixture's account. */
	async call(path: string, body: unknown, headers: Readonly<Record<string, string>> = {}): Promise<Response> {
		return fetch(`${this.url}${path}`, {
			method: 'POST',
			headers: {authorization: `Bearer ${accountKey}`, 'content-type': 'application/json', ...headers},
			body: typeof body === 'string' ? body : JSON.stringify(body),
		});
	}

	/** Returns the router's status from its admin API. */
	async status(): Promise<wire.http.RouterStatus> {
		const res = await fetch(`${this.url}/admin/status`, {headers: {authorization: `Bearer ${operatorKey}`}});
		return await res.json() as wire.http.RouterStatus;
	}

	/** Waits until the router's readiness probe succeeds. */
	async waitUntilReady(): Promise<void> {
		for (;;) {
			const res = await fetch(`${this.url}/readyz`); // eslint-disable-line no-await-in-loop
			if (res.ok) {
				return;
			}

			await standIns.util.sleep(10); // eslint-disable-line no-await-in-loop
		}
	}

	/** Waits until a condition holds; limited only by the test's timeout. */
	async waitUntil(condition: () => boolean): Promise<void> {
		while (!condition()) {
			await standIns.util.sleep(5); // eslint-disable-line no-await-in-loop
		}
	}

	async #startEngines(options: FixtureOptions): Promise<core.model.Endpoint[]> {
		const endpoints: core.model.Endpoint[] = [];
		for (const weights of options.engines ?? [[`${modelId}@1`]]) {
			const engine = standIns.engine.createEngine({
				stepMs: 1, stepPerRequestMs: 0, loadMs: 1, loadLagMs: 0, ...options.engine, weights,
			});
			const {port} = await engine.start(); // eslint-disable-line no-await-in-loop
			this.engines.push(engine);
			endpoints.push(createEndpoint(`engine-${endpoints.length + 1}`, 'pool', port));
		}

		return endpoints;
	}

	async #startRunners(count: number): Promise<core.model.Endpoint[]> {
		const endpoints: core.model.Endpoint[] = [];
		for (let index = 1; index <= count; index++) {
			const runner = standIns.plainService.createPlainService({latencyMs: 1});
			const {port} = await runner.start(); // eslint-disable-line no-await-in-loop
			this.runners.push(runner);
			endpoints.push(createEndpoint(`runner-${index}`, 'boekhuis', port));
		}

		return endpoints;
	}

	async #apply(content: config.manifest.ManifestContent): Promise<void> {
		const change = {changeId: crypto.randomUUID(), madeFrom: 0};
		await this.#write(config.manifest.proposeApply(undefined, content, change).unsafeCoerce());
	}

	async #write(proposal: config.manifest.ChangeProposal): Promise<void> {
		const client = this.#client!;
		for (const section of proposal.newSections) {
			await client.compareAndSwap(config.manifest.sectionKey(section.hash), 0, section.bytes); // eslint-disable-line no-await-in-loop
		}

		const before = await client.get(config.manifest.headKey);
		const revision = before.unsafeCoerce()?.revision ?? 0;
		const swap = await client.compareAndSwap(config.manifest.headKey, revision, config.manifest.encodeHead(proposal.head));
		if (!swap.unsafeCoerce().swapped) {
			throw new Error('the manifest was changed by another writer');
		}

		this.#head = proposal.head;
	}
}

function createEndpoint(id: string, service: string, port: number): core.model.Endpoint {
	return {
		id,
		service,
		host,
		port,
		dataCentre: 'a',
		checksFencing: true,
		role: core.model.EngineRole.Mixed,
		capacity: 16,
		leaving: false,
	};
}

function createContent(
	endpoints: readonly core.model.Endpoint[],
	versions: readonly string[],
): config.manifest.ManifestContent {
	const common = {models: [], rules: [], maxConcurrentLoads: 1};
	return {
		models: [{
			id: modelId, service: 'pool', versions, defaultKind: 'question', supportsForcedPrefix: true,
		}],
		adapters: [],
		accounts: [{
			id: accountId,
			keyHashes: [crypto.createHash('sha256').update(accountKey).digest('hex')],
			share: 1,
			limits: {requestsPerSecond: 1000, burst: 1000, tokensPerSecond: 1_000_000},
			allowed: [],
		}],
		kinds: [
			{
				id: 'question', weight: 1, priority: 1, deadlineMs: 20_000, repeatable: true,
			},
			{
				id: 'booking', weight: 5, priority: 1, deadlineMs: 20_000, repeatable: false,
			},
		],
		services: [
			{
				...common, id: 'pool', type: core.model.ServiceType.Engine, models: [modelId], defaultKind: 'question',
			},
			{
				...common,
				id: 'boekhuis',
				type: core.model.ServiceType.Plain,
				rules: [{method: 'POST', pathPrefix: '/bookings', kind: 'booking'}],
				defaultKind: 'question',
			},
		],
		endpoints,
	};
}

function createSettings(kvUrl: string, overrides: Readonly<Record<string, unknown>>): config.settings.Settings {
	return config.settings.settingsSchema.parse({
		vm: 'vm-1',
		dataCentre: 'a',
		region: 'r',
		listen: {host, port: 0},
		peer: {host, port: 0},
		operatorKeyHash: crypto.createHash('sha256').update(operatorKey).digest('hex'),
		platform: {kv: [kvUrl]},
		stop: {readinessLeadMs: 0},
		manifest: {pollMs: 50},
		timeouts: {progressMs: 500},
		...overrides,
	});
}
