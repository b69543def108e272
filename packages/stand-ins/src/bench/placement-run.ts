import * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import * as util from '../util/index.js';
import * as benchRouter from './bench-router.js';
import * as engineClient from './engine-client.js';
import * as engineFleet from './engine-fleet.js';
import * as oracle from './oracle.js';
import * as placementRunOptions from './placement-run-options.js';
import * as runResult from './run-result.js';
import * as workload from './workload.js';

const deadlineMs = 3000;
const pollMs = 100;
const faultDelayMs = 1500;
const crashDurationMs = 1000;
const maxAttempts = 3;
const increasedEventLoss = 0.3;

/** One run: starts the engines, generates the load, injects the fault, and collects the outcomes. */
export class PlacementRun {
	readonly #fleet = new engineFleet.EngineFleet();
	readonly #clients: engineClient.EngineClient[] = [];
	readonly #routers: benchRouter.BenchRouter[] = [];
	readonly #loadReports = new Map<string, wire.endpoint.LoadReport>();
	readonly #computedPieceKeys = new Set<string>();
	readonly #outcomes: runResult.RequestOutcome[] = [];
	#attemptCount = 0;
	#startedAt = 0;
	#isStopped = false;

	constructor(private readonly options: placementRunOptions.PlacementRunOptions) {}

	/** Executes the run and returns its result. */
	async run(): Promise<runResult.RunResult> {
		const {deployment, fault} = this.options;
		try {
			await this.#fleet.start(deployment, fault === placementRunOptions.BenchFault.SlowEngine ? 0 : undefined);
			this.#createRouters();
			for (const index of this.#fleet.engines.keys()) {
				this.#connect(index);
			}

			await this.#fetchLoadReports();
			void this.#pollLoadReports();
			await util.sleep(benchRouter.typicalLag.loadReportMs + pollMs);
			await this.#fillCaches();
			this.#startedAt = Date.now();
			void this.#injectFault();
			await (this.options.requestsPerSecond > 0 ? this.#runOpenLoop() : this.#runClosedLoop());
		} finally {
			this.#isStopped = true;
			for (const router of this.#routers) {
				router.stop();
			}

			await this.#fleet.stop();
			await Promise.all(this.#clients.map(async client => client.close()));
		}

		return this.#createResult();
	}

	get #durationMs(): number {
		return this.options.warmUpMs + this.options.measuredMs;
	}

	get #isOracle(): boolean {
		return this.options.policy === placementRunOptions.oracleName;
	}

	#createRouters(): void {
		const {deployment, policy, seed} = this.options;
		const count = this.#isOracle ? 1 : deployment.routers;
		for (let index = 0; index < count; index++) {
			this.#routers.push(new benchRouter.BenchRouter({
				name: `router-${index}`,
				deployment,
				routers: count,
				lag: this.#isOracle ? benchRouter.noLag : benchRouter.typicalLag,
				seed: (seed * 100) + index,
				policy: routerSeed => this.#isOracle
					? new oracle.Oracle({wasteBelowTargetHolders: 0.5, waste: deployment.oracleWaste, occupancyMs: 100})
					: core.placement.createPlacementPolicy(policy as core.placement.PlacementPolicyName, {seed: routerSeed, cost: deployment.cost}),
			}));
		}
	}

	#connect(index: number): void {
		const client = new engineClient.EngineClient(`http://127.0.0.1:${this.#fleet.engines[index]!.port}`);
		this.#clients[index] = client;
		void this.#followCacheEvents(index);
	}

	async #followCacheEvents(index: number): Promise<void> {
		while (!this.#isStopped) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await this.#clients[index]!.followCacheEvents(event => {
					for (const router of this.#routers) {
						router.receiveCacheEvent(`engine-${index}`, event);
					}
				});
			} catch {}

			await util.sleep(pollMs); // eslint-disable-line no-await-in-loop
		}
	}

	async #pollLoadReports(): Promise<void> {
		while (!this.#isStopped) {
			await util.sleep(pollMs); // eslint-disable-line no-await-in-loop
			await this.#fetchLoadReports(); // eslint-disable-line no-await-in-loop
		}
	}

	async #fetchLoadReports(): Promise<void> {
		await Promise.all(this.#clients.map(async (client, index) => {
			try {
				const report = await client.fetchLoadReport();
				this.#loadReports.set(`engine-${index}`, report);
				for (const router of this.#routers) {
					router.receiveLoadReport(`engine-${index}`, report);
				}
			} catch {}
		}));
	}

	async #injectFault(): Promise<void> {
		await util.sleep(this.options.warmUpMs + faultDelayMs);
		if (this.#isStopped) {
			return;
		}

		switch (this.options.fault) {
			case placementRunOptions.BenchFault.EngineCrash: {
				await this.#fleet.crash(0);
				await util.sleep(crashDurationMs);
				await (this.#isStopped ? undefined : this.#fleet.restart(0));
				break;
			}

			case placementRunOptions.BenchFault.EventLoss: {
				this.#forEachLaggingRouter(router => {
					router.eventLoss = increasedEventLoss;
				});
				break;
			}

			case placementRunOptions.BenchFault.RouterRestart: {
				for (const router of this.#routers.slice(0, Math.ceil(this.#routers.length / 3))) {
					router.restart(this.#loadReports);
				}

				break;
			}

			case placementRunOptions.BenchFault.NoLoadReports: {
				this.#forEachLaggingRouter(router => {
					router.isReceivingLoadReports = false;
				});
				break;
			}

			case placementRunOptions.BenchFault.None:
			case placementRunOptions.BenchFault.HotSpotMove:
			case placementRunOptions.BenchFault.SlowEngine: {
				break;
			}
		}
	}

	/** Calls `action` for each router; the oracle is left out, since it observes without delay or loss. */
	#forEachLaggingRouter(action: (router: benchRouter.BenchRouter) => void): void {
		for (const router of this.#isOracle ? [] : this.#routers) {
			action(router);
		}
	}

	/** Sends one request per prefix, a few at a time, so that the run does not start with empty caches. */
	async #fillCaches(): Promise<void> {
		const {deployment, seed} = this.options;
		const load = new workload.Workload(deployment, {seed: seed + 1, requestsPerSecond: 1, durationMs: 0});
		const requests = load.listRequestsForAllPrefixes();
		const callers = Array.from({length: deployment.engines * 2}, async () => {
			for (let request = requests.pop(); request !== undefined; request = requests.pop()) {
				await this.#serve(request); // eslint-disable-line no-await-in-loop
			}
		});
		await Promise.all(callers);
		this.#outcomes.length = 0;
	}

	async #runOpenLoop(): Promise<void> {
		const {deployment, seed, requestsPerSecond, warmUpMs, fault} = this.options;
		const load = new workload.Workload(deployment, {
			seed,
			requestsPerSecond,
			durationMs: this.#durationMs,
			...(fault === placementRunOptions.BenchFault.HotSpotMove && {hotSpotMovesAtMs: warmUpMs + faultDelayMs}),
		});
		const pending: Array<Promise<void>> = [];
		for (const request of load.listRequests()) {
			const waitMs = this.#startedAt + request.atMs - Date.now();
			if (waitMs > 1) {
				await util.sleep(waitMs); // eslint-disable-line no-await-in-loop
			}

			pending.push(this.#serve(request));
		}

		await Promise.all(pending);
	}

	async #runClosedLoop(): Promise<void> {
		const {deployment, seed} = this.options;
		const load = new workload.Workload(deployment, {
			seed, requestsPerSecond: 1, durationMs: 0,
		});
		const callers = Array.from({length: deployment.engines * deployment.slots}, async () => {
			for (let atMs = 0; atMs < this.#durationMs; atMs = Date.now() - this.#startedAt) {
				await this.#serve(load.createRequest(atMs)); // eslint-disable-line no-await-in-loop
			}
		});
		await Promise.all(callers);
	}

	async #serve(request: workload.WorkloadRequest): Promise<void> {
		const router = this.#routers[request.index % this.#routers.length]!;
		const arrivedAt = Date.now();
		router.state.recordArrival(request.placementRequest, arrivedAt);
		const excluded = new Set<string>();
		for (let attempt = 0; attempt < maxAttempts && Date.now() - arrivedAt < deadlineMs; attempt++) {
			const placement = router.state.place({...request.placementRequest, excluded}, Date.now());
			if (placement === undefined) {
				break;
			}

			const summary = await this.#sendAttempt(router, request, placement, arrivedAt); // eslint-disable-line no-await-in-loop
			if (summary !== undefined) {
				this.#recordAnswer(request, summary, arrivedAt, attempt);
				return;
			}

			excluded.add(placement.endpoint);
		}

		this.#outcomes.push({
			atMs: request.atMs,
			firstTokenMs: deadlineMs,
			isAnswered: false,
			promptTokens: request.placementRequest.promptTokens,
			cachedTokens: 0,
			wastedTokens: 0,
			retries: Math.max(0, excluded.size - 1),
		});
	}

	async #sendAttempt(
		router: benchRouter.BenchRouter,
		request: workload.WorkloadRequest,
		placement: core.placement.Placement,
		arrivedAt: number,
	): Promise<engineClient.StreamSummary | undefined> {
		const {endpoint} = placement;
		const {state} = router;
		const client = this.#clients[Number(endpoint.slice('engine-'.length))]!;
		this.#attemptCount += 1;
		const attemptId = `attempt-${this.#attemptCount}`;
		const abort = new AbortController();
		const timer = setTimeout(() => {
			abort.abort();
		}, arrivedAt + deadlineMs - Date.now());
		const attempt = {attemptId, request: request.placementRequest, placement};
		const change = core.placement.dispatchChange(attempt);
		let hasFirstToken = false;
		state.recordDispatch(attempt, Date.now());
		this.#notifyPeers(router, change);
		try {
			const summary = await client.complete(request.placementRequest, attemptId, abort.signal, {
				onFirstToken: now => {
					clearTimeout(timer);
					hasFirstToken = true;
					state.loads.recordFirstToken(attemptId, now);
					this.#notifyPeers(router, {
						...change, requests: 0, tokens: -change.tokens, keys: [], homeKeys: [],
					});
				},
			});
			state.loads.recordEnd(attemptId, summary.tokens, Date.now());
			this.#notifyPeers(router, {
				...change, requests: -1, tokens: 0, keys: [], homeKeys: [],
			});
			state.recordResponse({
				request: request.placementRequest, endpoint, incarnation: summary.incarnation, cachedTokens: summary.cachedTokens,
			});
			return summary;
		} catch {
			state.recordFailure(attempt, Date.now());
			this.#notifyPeers(router, {
				...change, requests: -1, tokens: hasFirstToken ? 0 : -change.tokens, keys: [], homeKeys: [],
			});
			if (abort.signal.aborted) {
				void cancelQuietly(client, attemptId);
			} else {
				router.markUnreachable(endpoint);
			}

			return undefined;
		} finally {
			clearTimeout(timer);
		}
	}

	#notifyPeers(from: benchRouter.BenchRouter, change: core.placement.PeerLoadChange): void {
		for (const router of this.#routers) {
			if (router !== from) {
				router.receivePeerChange(change);
			}
		}
	}

	#recordAnswer(request: workload.WorkloadRequest, summary: engineClient.StreamSummary, arrivedAt: number, retries: number): void {
		let tokens = 0;
		let wastedTokens = 0;
		for (const piece of request.placementRequest.pieces) {
			tokens += piece.tokens;
			if (tokens > summary.cachedTokens && this.#computedPieceKeys.has(piece.key)) {
				wastedTokens += piece.tokens;
			}

			this.#computedPieceKeys.add(piece.key);
		}

		this.#outcomes.push({
			atMs: request.atMs,
			firstTokenMs: summary.firstTokenAt - arrivedAt,
			isAnswered: true,
			promptTokens: request.placementRequest.promptTokens,
			cachedTokens: summary.cachedTokens,
			wastedTokens,
			retries,
		});
	}

	#createResult(): runResult.RunResult {
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

/** Cancels an attempt and ignores errors. */
async function cancelQuietly(client: engineClient.EngineClient, attemptId: string): Promise<void> {
	try {
		await client.cancel(attemptId);
	} catch {}
}
