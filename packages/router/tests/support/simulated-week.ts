import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import * as memoryKv from '../controllers/fakes/memory-kv.js';
import * as manualTime from '../controllers/fakes/manual-time.js';
import * as memoryPeers from '../controllers/fakes/memory-peers.js';
import * as simulatedManifest from './simulated-manifest.js';
import * as router from '@bluebellmast/router';

const self = {vm: 'vm-self', incarnation: 'vm-self/1'};
const startMs = 1_700_000_000_000;
const hourMs = 3_600_000;
const stepMs = 600_000;
const prompt = [{role: 'user', content: 'h'.repeat(24_000)}];

/** Timer whose callbacks run once in each step of the simulation, whatever their delay. */
class StepTimer {
	#pending: Array<() => void> = [];

	after(_delayMs: number, callback: () => void): () => void {
		this.#pending.push(callback);
		return () => {
			this.#pending = this.#pending.filter(item => item !== callback);
		};
	}

	run(): void {
		const due = this.#pending;
		this.#pending = [];
		for (const callback of due) {
			callback();
		}
	}
}

/**
 * The parts of one router that keep state on requests, endpoints, VMs, versions and accounts, in virtual time. In each hour one engine,
 * one account and one VM is replaced by another one, in every sixth hour also a version, and the plain service with its runners.
 */
export class SimulatedWeek {
	#now = startMs;
	#hour = 0;
	#count = 0;
	#manifest = simulatedManifest.createManifest(0);
	#vms = simulatedManifest.listVms(0);
	readonly #timer = new StepTimer();
	readonly #clock = {now: () => this.#now};
	readonly #metrics = new router.util.CountingMetrics();
	readonly #links = new memoryPeers.MemoryLinks();
	readonly #peers = this.#links.create(self.vm);
	readonly #kv = new memoryKv.MemoryKvClient(new memoryKv.MemoryKv());
	readonly #engines = new core.placement.PlacementState({
		policy: core.placement.createPlacementPolicy(core.placement.PlacementPolicyName.CostBased, {seed: 1}),
	});

	readonly #services = new core.placement.PlacementState({
		policy: core.placement.createPlacementPolicy(core.placement.PlacementPolicyName.LeastLoad, {seed: 1}),
	});

	readonly #membership = new core.members.Membership({
		...self, host: '10.0.0.1', port: 1, dataCentre: 'a', seed: 1, startedAt: this.#now,
	});

	readonly #common = {clock: this.#clock, timer: this.#timer, metrics: this.#metrics};
	readonly #manifests = new router.controllers.ManifestController({
		vm: self.vm, kv: this.#kv, peers: this.#peers, clock: this.#clock, liveMembers: () => this.#liveMembers(), listedVms: () => this.#liveMembers(),
	});

	readonly #cacheEvents = new router.controllers.CacheEventsController({
		vm: self.vm,
		state: this.#engines,
		liveMembers: () => this.#liveMembers(),
		manifest: () => this.#manifest,
		dispatcher() {
			throw new Error('not used');
		},
		peers: this.#peers,
		clock: this.#clock,
		metrics: this.#metrics,
	});

	readonly #usage = router.controllers.createUsageController({
		...this.#common, self, peers: this.#peers, accounts: () => this.#manifest.accounts, members: () => this.#liveMembers(),
	});

	readonly #admission = router.controllers.createUsageAdmission({
		...this.#common, usage: this.#usage, manifest: () => this.#manifest, countRouters: () => simulatedManifest.vmCount + 1,
	});

	readonly #ledger = router.controllers.createLedgerController({
		...this.#common, self, kv: this.#kv, peers: this.#peers, ledgerOptions: {shardCount: 4},
	});

	readonly #issuedKeys = router.controllers.createIssuedKeyController({...this.#common, self});
	readonly #facade = new router.controllers.LedgerFacade(this.#ledger, this.#issuedKeys);
	readonly #placer = new router.placement.Placer({
		engines: this.#engines, services: this.#services, clock: this.#clock, manifest: () => this.#manifest, isConfirmed: () => true,
	});

	readonly #watch = new router.controllers.EndpointWatchController({
		...self,
		peers: this.#peers,
		clock: this.#clock,
		manifest: () => this.#manifest,
		liveMembers: () => this.#liveMembers(),
		readLoad: async endpoint => this.#createReport(endpoint),
		onStateChange: state => {
			this.#engines.applyObservation(state, this.#now);
			this.#services.applyObservation(state, this.#now);
			if (state.report !== undefined) {
				this.#admission.recordLoad(state.endpoint, state.report);
			}
		},
	});

	readonly #rollout = new router.controllers.RolloutController({
		client: {
			readHoldings: async endpoint => ({
				incarnation: this.#incarnationOf(endpoint), role: endpoint.role, weights: this.#weights(), loading: [], fencing: 1,
			}),
			sendOrder: async () => undefined,
		},
		clock: this.#clock,
		manifest: () => this.#manifest,
		fencing: () => 1,
		countRunning: () => 1,
		onDraining: (fencing, endpoints) => {
			this.#watch.announceDraining(fencing, endpoints);
		},
		metrics: this.#metrics,
	});

	async start(): Promise<void> {
		await this.#usage.start();
		await this.#admission.start();
		await this.#ledger.start();
		await this.#issuedKeys.start();
		this.#applyManifest();
		this.#replaceVms();
	}

	async stop(): Promise<void> {
		await this.#cacheEvents.stop();
		await this.#manifests.stop();
	}

	/** Simulates a number of days. */
	async run(days: number): Promise<void> {
		const end = this.#now + (days * 24 * hourMs);
		while (this.#now < end) {
			this.#now += stepMs;
			await this.#step(); // eslint-disable-line no-await-in-loop
		}
	}

	async #step(): Promise<void> {
		const hour = Math.floor((this.#now - startMs) / hourMs);
		if (hour !== this.#hour) {
			this.#hour = hour;
			this.#manifest = simulatedManifest.createManifest(hour);
			this.#applyManifest();
			this.#replaceVms();
		}

		await this.#watch.tick();
		await this.#rollout.tick();
		await this.#manifests.tick();
		this.#receiveFromPeers();
		for (let tick = 0; tick < 3; tick += 1) {
			this.#membership.step({type: core.members.MembershipEventType.Tick}, this.#now + (tick * 500));
		}

		for (const account of this.#manifest.accounts) {
			await this.#runChat(account); // eslint-disable-line no-await-in-loop
		}

		this.#usage.gossip();
		this.#timer.run();
		await manualTime.flushPromises();
	}

	#liveMembers(): string[] {
		return [self.vm, ...this.#vms];
	}

	#applyManifest(): void {
		this.#engines.setEndpoints(this.#manifest.endpoints);
		this.#services.setEndpoints(this.#manifest.endpoints);
	}

	#replaceVms(): void {
		const before = this.#vms;
		this.#vms = simulatedManifest.listVms(this.#hour);
		for (const vm of before.filter(candidate => !this.#vms.includes(candidate))) {
			this.#links.networks.delete(vm);
			this.#receiveRecord(vm, core.members.MemberStatus.Left);
		}

		for (const vm of this.#vms.filter(candidate => !this.#links.networks.has(candidate))) {
			this.#links.create(vm);
			this.#receiveRecord(vm, core.members.MemberStatus.Alive);
		}

		this.#facade.setMembers([self, ...this.#vms.map(vm => ({vm, incarnation: `${vm}/1`}))]);
	}

	#receiveRecord(vm: string, status: core.members.MemberStatus): void {
		const record: core.members.MemberRecord = {
			vm, incarnation: `${vm}/1`, version: status === core.members.MemberStatus.Left ? 2 : 1, status, host: '10.0.0.2', port: 1, dataCentre: 'a', leaving: false,
		};
		this.#membership.step({type: core.members.MembershipEventType.RecordsReceived, records: [record]}, this.#now);
	}

	/** Delivers a message of each kind that carries the state of other routers from each of them. */
	#receiveFromPeers(): void {
		const engines = this.#manifest.endpoints.slice(0, simulatedManifest.engineCount);
		for (const from of this.#vms) {
			this.#count += 1;
			const incarnation = `${from}/1`;
			const accounts = this.#manifest.accounts.map((account, slot) => ({account: account.id, requests: this.#countSteps(slot), tokens: 0}));
			this.#receive(from, {
				type: wire.peer.PeerMessageType.Usage, records: [{
					vm: from, incarnation, sequence: this.#count, accounts,
				}],
			});
			this.#receive(from, {type: wire.peer.PeerMessageType.ManifestProbe, sentAt: this.#now, generation: 0});
			this.#receive(from, {type: wire.peer.PeerMessageType.ManifestProbeAnswer, sentAt: this.#now, generation: 0});
			this.#receive(from, {
				type: wire.peer.PeerMessageType.EndpointNotice,
				origin: incarnation,
				sequence: this.#count,
				leaving: [{endpoint: engines[0]!.id, incarnation: `${engines[0]!.id}/ended`}],
			});
			this.#receive(from, {
				type: wire.peer.PeerMessageType.LoadDigest,
				loads: engines.map(endpoint => ({endpoint: endpoint.id, report: this.#createReport(endpoint), ageMs: 0})),
			});
			this.#receive(from, {
				type: wire.peer.PeerMessageType.CacheDigest, engines: engines.map(endpoint => this.#createCacheDigest(endpoint)),
			});
			this.#membership.step({
				type: core.members.MembershipEventType.Ping, from, spread: {sequence: this.#count, digest: this.#count, records: []},
			}, this.#now);
		}
	}

	/** Returns the number of steps since the account at a slot was added. */
	#countSteps(slot: number): number {
		const hours = ((this.#now - startMs) / hourMs) + slot;
		return Math.floor((hours % simulatedManifest.accountCount) * hourMs / stepMs);
	}

	#createCacheDigest(endpoint: core.model.Endpoint): wire.peer.EngineCacheDigest {
		const key = this.#count.toString(16).padStart(16, '0');
		return {endpoint: endpoint.id, incarnation: this.#incarnationOf(endpoint), keys: wire.peer.packKeys([key])};
	}

	#receive(from: string, message: router.peers.PeerMessage & Readonly<Record<string, unknown>>): void {
		this.#peers.receive(from, message);
	}

	#createContext(account: core.model.ClientAccount, call: router.filters.Call): router.filters.RequestContext {
		this.#count += 1;
		return {
			id: `r${this.#count}`,
			arrivedAt: this.#now,
			deadlineAt: this.#now + 1000,
			headers: {},
			call,
			manifest: this.#manifest,
			account,
			kind: this.#manifest.kinds[0]!,
			prompt: core.cache.splitPrompt({account: account.id, model: simulatedManifest.modelId}, prompt),
			response: undefined as unknown as router.filters.RequestContext['response'],
		};
	}

	async #runChat(account: core.model.ClientAccount): Promise<void> {
		const call = {
			type: router.filters.CallType.Chat as const, model: simulatedManifest.modelId, messages: prompt, stream: true, maxTokens: 10,
		};
		const ctx = this.#createContext(account, call);
		const admitted = await this.#admission.admit(ctx);
		this.#placer.recordArrival(ctx);
		const target = this.#placer.placeChat(ctx, call, new Set()).unsafeCoerce();
		const attempt = `${ctx.id}-1`;
		this.#placer.recordChatDispatch(target, attempt);
		this.#placer.recordFirstToken(attempt);
		this.#admission.recordResponseStart(ctx.id);
		if (this.#count % 5 === 0) {
			this.#placer.recordFailure(target.endpoint.id, core.request.FailureCause.ConnectFailed);
			this.#placer.recordChatEnd(target, attempt, undefined, undefined);
		} else {
			/* eslint-disable @typescript-eslint/naming-convention */
			this.#placer.recordChatEnd(target, attempt, this.#incarnationOf(target.endpoint), {
				prompt_tokens: 6000, completion_tokens: 10, prompt_tokens_details: {cached_tokens: 4000},
			});
			/* eslint-enable @typescript-eslint/naming-convention */
		}

		admitted.unsafeCoerce()();
		this.#usage.count(account, 0, 10);
		if (account === this.#manifest.accounts.at(-1)) {
			await this.#runBooking(account);
		}

		// The rest of the burst is used up, so that the account is refused once.
		while (this.#usage.admit(account, 0) === 0) {
			// Admitted.
		}

		await this.#admission.admit(this.#createContext(account, call));
	}

	async #runBooking(account: core.model.ClientAccount): Promise<void> {
		const {service} = this.#manifest.endpoints.at(-1)!;
		const call = {
			type: router.filters.CallType.Service as const, service, method: 'POST', path: '/', contentType: '', body: new Uint8Array(),
		};
		const ctx = this.#createContext(account, call);
		const admitted = await this.#admission.admit(this.#createContext(this.#manifest.accounts.at(-1)!, call));
		admitted.ifRight(release => {
			release();
		});
		const endpoint = this.#placer.placeService(ctx, call, new Set()).unsafeCoerce();
		this.#placer.recordServiceDispatch(endpoint.id, ctx.id);
		this.#placer.recordServiceEnd(ctx.id);
		const {key: issued} = this.#issuedKeys.issue(account.id);
		for (const [index, key] of [issued, `chosen-${ctx.id}`].entries()) {
			const attempt = `${ctx.id}-${index}`;
			const verdict = this.#facade.begin({
				account: account.id, key, digest: 'd', attempt, deadlineAt: this.#now + 60_000,
			});
			await this.#flushLedger(); // eslint-disable-line no-await-in-loop
			const {type} = await verdict; // eslint-disable-line no-await-in-loop
			if (type === router.controllers.BeginVerdictType.Proceed && this.#facade.claimSend(attempt)) {
				this.#facade.settle(attempt, core.ledger.AttemptResult.ResponseComplete, {status: 200, contentType: '', body: new Uint8Array()});
			}
		}
	}

	/** Lets the ledger's waits end; other routers don't answer, so that this one commits all intents itself. */
	async #flushLedger(): Promise<void> {
		for (let round = 0; round < 4; round += 1) {
			this.#now += 500;
			this.#timer.run();
			await manualTime.flushPromises(); // eslint-disable-line no-await-in-loop
		}
	}

	#incarnationOf(endpoint: core.model.Endpoint): string {
		return `${endpoint.id}/${Math.floor(this.#hour / 2)}`;
	}

	#weights(): string[] {
		return this.#manifest.models[0]!.versions.map(version => `${simulatedManifest.modelId}@${version}`);
	}

	#createReport(endpoint: core.model.Endpoint): wire.endpoint.LoadReport {
		this.#count += 1;
		return {
			incarnation: this.#incarnationOf(endpoint),
			sequence: this.#count,
			running: 1,
			queued: 0,
			queuedTokens: 0,
			cachedTokens: 1000,
			cacheLimitTokens: 100_000,
			weights: this.#weights(),
			leaving: false,
		};
	}
}
