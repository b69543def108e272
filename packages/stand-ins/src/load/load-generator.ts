import * as undici from 'undici';
import * as util from '../util/index.js';
import * as callOutcome from './call-outcome.js';
import * as loadClient from './load-client.js';
import * as loadOptions from './load-options.js';
import * as loadResult from './load-result.js';
import * as promptGenerator from './prompt-generator.js';
import * as targetPool from './target-pool.js';

const millisecondsPerSecond = 1000;
const retryDelayMs = 300;
const retryableOutcomes: ReadonlySet<callOutcome.Outcome> = new Set([
	callOutcome.Outcome.RefusedNotRun, callOutcome.Outcome.RefusedUnknown, callOutcome.Outcome.Lost,
]);

/** Open-loop load generator: requests arrive in a Poisson process, whether or not earlier ones have ended. */
class LoadGenerator {
	readonly #agent = new undici.Agent({pipelining: 1, headersTimeout: 0, bodyTimeout: 0});
	readonly #random: util.Random;
	readonly #prompts: promptGenerator.PromptGenerator;
	readonly #targets: targetPool.TargetPool;
	readonly #client: loadClient.LoadClient;
	readonly #result: loadResult.LoadResultBuilder;
	readonly #inFlight = new Set<Promise<void>>();
	#requestCount = 0;

	constructor(private readonly settings: loadOptions.LoadSettings) {
		this.#random = new util.Random(settings.seed);
		this.#prompts = new promptGenerator.PromptGenerator(settings, this.#random);
		this.#targets = new targetPool.TargetPool(settings.targets, this.#agent);
		this.#client = new loadClient.LoadClient(settings, this.#agent);
		this.#result = new loadResult.LoadResultBuilder(settings.seed);
	}

	/** Generates the load and resolves when all requests have ended. */
	async run(): Promise<loadResult.LoadResult> {
		this.#targets.start();
		await this.#generateArrivals();
		await Promise.all(this.#inFlight);
		this.#targets.stop();
		await this.#agent.destroy();
		return this.#result.build();
	}

	async #generateArrivals(): Promise<void> {
		const {durationMs, maxRequests, requestsPerSecond} = this.settings;
		const startedAt = performance.now();
		let elapsedMs = this.#random.exponential(millisecondsPerSecond / requestsPerSecond);
		while (elapsedMs < durationMs && this.#requestCount < maxRequests) {
			await util.sleep(startedAt + elapsedMs - performance.now()); // eslint-disable-line no-await-in-loop
			this.#sendRequest(startedAt + elapsedMs, elapsedMs);
			elapsedMs += this.#random.exponential(millisecondsPerSecond / requestsPerSecond);
		}
	}

	#sendRequest(scheduledAt: number, elapsedMs: number): void {
		this.#requestCount += 1;
		const account = this.settings.accounts[promptGenerator.pickByRank(this.#random, this.settings.accounts.length)]!;
		const requestName = `${this.settings.seed}-${this.#requestCount}`;
		const isBooking = this.#random.chance(this.settings.bookingShare);
		const messages = this.#prompts.next(elapsedMs);
		const stream = this.#random.chance(this.settings.streamShare);
		if (this.#inFlight.size >= this.settings.maxInFlight) {
			this.#result.notSent += 1;
			return;
		}

		const {bookingService} = this.settings;
		const request = isBooking && bookingService !== undefined
			? this.#sendBooking(requestName, account, bookingService, scheduledAt)
			: this.#sendQuestion(requestName, {
				target: this.#targets.next(), account, messages, stream,
			}, scheduledAt);
		void this.#track(request);
	}

	async #track(request: Promise<void>): Promise<void> {
		this.#inFlight.add(request);
		await request;
		this.#inFlight.delete(request);
	}

	async #sendQuestion(requestName: string, question: Omit<loadClient.Question, 'onToken'>, scheduledAt: number): Promise<void> {
		this.#result.recordQuestionSent();
		let previousTokenAt: number | undefined;
		const onToken = () => {
			const now = performance.now();
			if (previousTokenAt === undefined) {
				this.#result.firstToken.record(now - scheduledAt);
			} else {
				this.#result.tokenGap.record(now - previousTokenAt);
			}

			previousTokenAt = now;
		};

		const outcome = await this.#recordIfLost(requestName, question.target, this.#client.sendQuestion({...question, onToken}));
		if (outcome.outcome === callOutcome.Outcome.Answered) {
			this.#result.total.record(performance.now() - scheduledAt);
		}

		this.#result.addQuestion(`question ${requestName} at ${question.target}`, outcome);
	}

	async #recordIfLost(
		request: string,
		target: string,
		call: Promise<callOutcome.CallOutcome>,
	): Promise<callOutcome.CallOutcome> {
		const sentAt = Date.now();
		const outcome = await call;
		if (outcome.outcome === callOutcome.Outcome.Lost) {
			this.#result.addLostCall({
				request, target, sentAt, endedAt: Date.now(), detail: outcome.detail ?? '',
			});
		}

		return outcome;
	}

	async #sendBooking(requestName: string, account: loadOptions.LoadAccount, service: string, scheduledAt: number): Promise<void> {
		this.#result.recordBookingSent();
		const key = `booking-${requestName}`;
		const tries: callOutcome.CallOutcome[] = [];
		do {
			if (tries.length > 0) {
				await util.sleep(retryDelayMs); // eslint-disable-line no-await-in-loop
			}

			const target = this.#targets.next();
			const call = this.#client.sendBooking({
				target, account, service, key, order: requestName,
			});
			tries.push(await this.#recordIfLost(key, target, call)); // eslint-disable-line no-await-in-loop
		} while (tries.length <= this.settings.bookingRepeats && retryableOutcomes.has(tries.at(-1)!.outcome));

		if (tries.at(-1)!.outcome === callOutcome.Outcome.Answered) {
			this.#result.bookingTotal.record(performance.now() - scheduledAt);
		}

		this.#result.addBooking({
			account: account.id, key, order: requestName, tries,
		});
	}
}

/** Generates load on the routers and returns the outcome of every request. */
export async function runLoad(options: loadOptions.LoadOptions): Promise<loadResult.LoadResult> {
	return new LoadGenerator(loadOptions.fillDefaults(options)).run();
}
