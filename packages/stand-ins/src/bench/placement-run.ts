import * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import * as util from '../util/index.js';
import * as benchRouter from './bench-router.js';
import * as engineClient from './engine-client.js';
import * as engineFleet from './engine-fleet.js';
import * as oracle from './oracle.js';
import * as runOptions from './placement-run-options.js';
import * as runResult from './run-result.js';
import * as workload from './workload.js';

const deadlineMs = 3000;
const pollMs = 100;
const faultAfterMs = 1500;
const outageMs = 1000;
const maxAttempts = 3;
const lossyShare = 0.3;

/** One run: starts the engines, offers the load, brings about the fault, and counts. */
export class PlacementRun {
	readonly #fleet = new engineFleet.EngineFleet();
	readonly #clients: engineClient.EngineClient[] = [];
	readonly #routers: benchRouter.BenchRouter[] = [];
	readonly #reports = new Map<string, wire.endpoint.LoadReport>();
	readonly #computed = new Set<string>();
	readonly #outcomes: runResult.RequestOutcome[] = [];
	#attempts = 0;
	#startedAt = 0;
	#isStopped = false;

	constructor(private readonly options: runOptions.PlacementRunOptions) {}

	/** Carries out the run. */
	async run(): Promise<runResult.RunResult> {
		const {deployment, fault} = this.options;
		try {
			await this.#fleet.start(deployment, fault === runOptions.BenchFault.SlowEngine ? 0 : undefined);
			this.#createRouters();
			for (const index of this.#fleet.engines.keys()) {
				this.#connect(index);
			}

			await this.#pollAll();
			void this.#poll();
			await util.sleep(benchRouter.usualLag.loadMs + pollMs);
			await this.#fillCaches();
			this.#startedAt = Date.now();
			void this.#bringAboutFault();
			await (this.options.requestsPerSecond > 0 ? this.#openLoop() : this.#closedLoop());
		} finally {
			this.#isStopped = true;
			for (const router of this.#routers) {
				router.stop();
			}

			await this.#fleet.stop();
			await Promise.all(this.#clients.map(async client => client.close()));
		}

		return this.#result();
	}

	get #durationMs(): number {
		return this.options.warmUpMs + this.options.measuredMs;
	}

	get #isOracle(): boolean {
		return this.options.policy === runOptions.oracleName;
	}

	#createRouters(): void {
		const {deployment, policy, seed} = this.options;
		const count = this.#isOracle ? 1 : deployment.routers;
		for (let index = 0; index < count; index++) {
			this.#routers.push(new benchRouter.BenchRouter({
				name: `router-${index}`,
				deployment,
				routers: count,
				lag: this.#isOracle ? benchRouter.noLag : benchRouter.usualLag,
				seed: (seed * 100) + index,
				policy: routerSeed => this.#isOracle
					? new oracle.Oracle({copyWaste: 0.5, waste: deployment.oracleWaste, occupancyMs: 100})
					: core.placement.createPlacementPolicy(policy as core.placement.PlacementPolicyName, {seed: routerSeed, cost: deployment.cost}),
			}));
		}
	}

	#connect(index: number): void {
		const client = new engineClient.EngineClient(`http://127.0.0.1:${this.#fleet.engines[index]!.port}`);
		this.#clients[index] = client;
		void this.#follow(index);
	}

	async #follow(index: number): Promise<void> {
		while (!this.#isStopped) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await this.#clients[index]!.follow(event => {
					for (const router of this.#routers) {
						router.hearEvent(`engine-${index}`, event);
					}
				});
			} catch {}

			await util.sleep(pollMs); // eslint-disable-line no-await-in-loop
		}
	}

	async #poll(): Promise<void> {
		while (!this.#isStopped) {
			await util.sleep(pollMs); // eslint-disable-line no-await-in-loop
			await this.#pollAll(); // eslint-disable-line no-await-in-loop
		}
	}

	async #pollAll(): Promise<void> {
		await Promise.all(this.#clients.map(async (client, index) => {
			try {
				const report = await client.load();
				this.#reports.set(`engine-${index}`, report);
				for (const router of this.#routers) {
					router.hearLoad(`engine-${index}`, report);
				}
			} catch {}
		}));
	}

	async #bringAboutFault(): Promise<void> {
		await util.sleep(this.options.warmUpMs + faultAfterMs);
		if (this.#isStopped) {
			return;
		}

		switch (this.options.fault) {
			case runOptions.BenchFault.EngineCrash: {
				await this.#fleet.crash(0);
				await util.sleep(outageMs);
				await (this.#isStopped ? undefined : this.#fleet.restart(0));
				break;
			}

			case runOptions.BenchFault.EventLoss: {
				this.#eachLaggingRouter(router => {
					router.eventLoss = lossyShare;
				});
				break;
			}

			case runOptions.BenchFault.RouterRestart: {
				for (const router of this.#routers.slice(0, Math.ceil(this.#routers.length / 3))) {
					router.restart(this.#reports);
				}

				break;
			}

			case runOptions.BenchFault.NoLoadReports: {
				this.#eachLaggingRouter(router => {
					router.getsReports = false;
				});
				break;
			}

			case runOptions.BenchFault.None:
			case runOptions.BenchFault.HotSpotMove:
			case runOptions.BenchFault.SlowEngine: {
				break;
			}
		}
	}

	/** The oracle goes on to see the truth. */
	#eachLaggingRouter(action: (router: benchRouter.BenchRouter) => void): void {
		for (const router of this.#isOracle ? [] : this.#routers) {
			action(router);
		}
	}

	/** Sends each prefix once, a few at a time, so that the run does not begin with empty caches. */
	async #fillCaches(): Promise<void> {
		const {deployment, seed} = this.options;
		const load = new workload.Workload(deployment, {seed: seed + 1, requestsPerSecond: 1, durationMs: 0});
		const requests = load.listAllPrefixes();
		const callers = Array.from({length: deployment.engines * 2}, async () => {
			for (let request = requests.pop(); request !== undefined; request = requests.pop()) {
				await this.#serve(request); // eslint-disable-line no-await-in-loop
			}
		});
		await Promise.all(callers);
		this.#outcomes.length = 0;
	}

	async #openLoop(): Promise<void> {
		const {deployment, seed, requestsPerSecond, warmUpMs, fault} = this.options;
		const load = new workload.Workload(deployment, {
			seed,
			requestsPerSecond,
			durationMs: this.#durationMs,
			...(fault === runOptions.BenchFault.HotSpotMove && {hotSpotMovesAtMs: warmUpMs + faultAfterMs}),
		});
		const pending: Array<Promise<void>> = [];
		for (const request of load.list()) {
			const waitMs = this.#startedAt + request.atMs - Date.now();
			if (waitMs > 1) {
				await util.sleep(waitMs); // eslint-disable-line no-await-in-loop
			}

			pending.push(this.#serve(request));
		}

		await Promise.all(pending);
	}

	async #closedLoop(): Promise<void> {
		const {deployment, seed} = this.options;
		const load = new workload.Workload(deployment, {
			seed, requestsPerSecond: 1, durationMs: 0,
		});
		const callers = Array.from({length: deployment.engines * deployment.slots}, async () => {
			for (let atMs = 0; atMs < this.#durationMs; atMs = Date.now() - this.#startedAt) {
				await this.#serve(load.next(atMs)); // eslint-disable-line no-await-in-loop
			}
		});
		await Promise.all(callers);
	}

	async #serve(request: workload.WorkloadRequest): Promise<void> {
		const router = this.#routers[request.index % this.#routers.length]!;
		const arrivedAt = Date.now();
		router.state.recordArrival(request.placement, arrivedAt);
		const excluded = new Set<string>();
		for (let attempt = 0; attempt < maxAttempts && Date.now() - arrivedAt < deadlineMs; attempt++) {
			const placement = router.state.place({...request.placement, excluded}, Date.now());
			if (placement === undefined) {
				break;
			}

			const answer = await this.#attempt(router, request, placement, arrivedAt); // eslint-disable-line no-await-in-loop
			if (answer !== undefined) {
				this.#count(request, answer, arrivedAt, attempt);
				return;
			}

			excluded.add(placement.endpoint);
		}

		this.#outcomes.push({
			atMs: request.atMs,
			firstTokenMs: deadlineMs,
			isAnswered: false,
			promptTokens: request.placement.promptTokens,
			cachedTokens: 0,
			wastedTokens: 0,
			retries: Math.max(0, excluded.size - 1),
		});
	}

	async #attempt(
		router: benchRouter.BenchRouter,
		request: workload.WorkloadRequest,
		placement: core.placement.Placement,
		arrivedAt: number,
	): Promise<engineClient.EngineAnswer | undefined> {
		const {endpoint} = placement;
		const {state} = router;
		const client = this.#clients[Number(endpoint.slice('engine-'.length))]!;
		this.#attempts += 1;
		const attemptId = `attempt-${this.#attempts}`;
		const abort = new AbortController();
		const timer = setTimeout(() => {
			abort.abort();
		}, arrivedAt + deadlineMs - Date.now());
		const attempt = {attemptId, request: request.placement, placement};
		const change = core.placement.dispatchChange(attempt);
		let isBegun = false;
		state.recordDispatch(attempt, Date.now());
		this.#tellPeers(router, change);
		try {
			const answer = await client.complete(request.placement, attemptId, abort.signal, {
				onFirstToken: now => {
					clearTimeout(timer);
					isBegun = true;
					state.loads.recordFirstToken(attemptId, now);
					this.#tellPeers(router, {
						...change, requests: 0, tokens: -change.tokens, keys: [], homeKeys: [],
					});
				},
			});
			state.loads.recordEnd(attemptId, answer.tokens, Date.now());
			this.#tellPeers(router, {
				...change, requests: -1, tokens: 0, keys: [], homeKeys: [],
			});
			state.recordResponse({
				request: request.placement, endpoint, incarnation: answer.incarnation, cachedTokens: answer.cachedTokens,
			});
			return answer;
		} catch {
			state.recordFailure(attempt, Date.now());
			this.#tellPeers(router, {
				...change, requests: -1, tokens: isBegun ? 0 : -change.tokens, keys: [], homeKeys: [],
			});
			if (abort.signal.aborted) {
				void cancelQuietly(client, attemptId);
			} else {
				router.lose(endpoint);
			}

			return undefined;
		} finally {
			clearTimeout(timer);
		}
	}

	#tellPeers(from: benchRouter.BenchRouter, change: core.placement.PeerLoadChange): void {
		for (const router of this.#routers) {
			if (router !== from) {
				router.hearPeer(change);
			}
		}
	}

	#count(request: workload.WorkloadRequest, answer: engineClient.EngineAnswer, arrivedAt: number, retries: number): void {
		let tokens = 0;
		let wastedTokens = 0;
		for (const piece of request.placement.pieces) {
			tokens += piece.tokens;
			if (tokens > answer.cachedTokens && this.#computed.has(piece.key)) {
				wastedTokens += piece.tokens;
			}

			this.#computed.add(piece.key);
		}

		this.#outcomes.push({
			atMs: request.atMs,
			firstTokenMs: answer.firstTokenAt - arrivedAt,
			isAnswered: true,
			promptTokens: request.placement.promptTokens,
			cachedTokens: answer.cachedTokens,
			wastedTokens,
			retries,
		});
	}

	#result(): runResult.RunResult {
		const {deployment, policy, load, fault, seed, requestsPerSecond, warmUpMs, measuredMs} = this.options;
		const measured = this.#outcomes.filter(outcome => outcome.atMs >= warmUpMs && outcome.atMs < this.#durationMs);
		const answered = measured.filter(outcome => outcome.isAnswered);
		const firstTokens = measured.map(outcome => outcome.firstTokenMs).sort((left, right) => left - right);
		const sum = (pick: (outcome: runResult.RequestOutcome) => number) => answered.reduce((total, outcome) => total + pick(outcome), 0);
		const wasted = sum(outcome => outcome.wastedTokens);
		return {
			deployment: deployment.name,
			policy,
			load,
			fault,
			seed,
			requestsPerSecond,
			requests: measured.length,
			answered: answered.length,
			refused: measured.length - answered.length,
			retries: measured.reduce((total, outcome) => total + outcome.retries, 0),
			hitRate: sum(outcome => outcome.cachedTokens) / Math.max(1, sum(outcome => outcome.promptTokens)),
			firstTokenP50Ms: runResult.quantile(firstTokens, 0.5),
			firstTokenP95Ms: runResult.quantile(firstTokens, 0.95),
			firstTokenP99Ms: runResult.quantile(firstTokens, 0.99),
			wastedKilotokens: wasted / 1000,
			wastedTokensPerRequest: wasted / Math.max(1, answered.length),
			answeredPerSecond: answered.length / (measuredMs / 1000),
		};
	}
}

async function cancelQuietly(client: engineClient.EngineClient, attemptId: string): Promise<void> {
	try {
		await client.cancel(attemptId);
	} catch {}
}
