import * as undici from 'undici';
import * as util from '../util/index.js';
import * as callOutcome from './call-outcome.js';
import * as caller from './caller.js';
import * as loadOptions from './load-options.js';
import * as loadResult from './load-result.js';
import * as promptMaker from './prompt-maker.js';
import * as targetPool from './target-pool.js';

const millisecondsPerSecond = 1000;
const repeatDelayMs = 300;
const repeatable: ReadonlySet<callOutcome.Outcome> = new Set([
	callOutcome.Outcome.RefusedNotRun, callOutcome.Outcome.RefusedUnknown, callOutcome.Outcome.Lost,
]);

/** Sends requests whose arrivals do not wait for answers. */
class LoadGenerator {
	readonly #agent = new undici.Agent({pipelining: 1, headersTimeout: 0, bodyTimeout: 0});
	readonly #random: util.Random;
	readonly #prompts: promptMaker.PromptMaker;
	readonly #targets: targetPool.TargetPool;
	readonly #caller: caller.Caller;
	readonly #result: loadResult.LoadResultBuilder;
	readonly #inFlight = new Set<Promise<void>>();
	#requests = 0;

	constructor(private readonly settings: loadOptions.LoadSettings) {
		this.#random = new util.Random(settings.seed);
		this.#prompts = new promptMaker.PromptMaker(settings, this.#random);
		this.#targets = new targetPool.TargetPool(settings.targets, this.#agent);
		this.#caller = new caller.Caller(settings, this.#agent);
		this.#result = new loadResult.LoadResultBuilder(settings.seed);
	}

	/** Runs to the end of all requests. */
	async run(): Promise<loadResult.LoadResult> {
		this.#targets.start();
		await this.#arrive();
		await Promise.all(this.#inFlight);
		this.#targets.stop();
		await this.#agent.destroy();
		return this.#result.build();
	}

	async #arrive(): Promise<void> {
		const {durationMs, maxRequests, requestsPerSecond} = this.settings;
		const startedAt = performance.now();
		let elapsedMs = this.#random.exponential(millisecondsPerSecond / requestsPerSecond);
		while (elapsedMs < durationMs && this.#requests < maxRequests) {
			await util.sleep(startedAt + elapsedMs - performance.now()); // eslint-disable-line no-await-in-loop
			this.#send(startedAt + elapsedMs, elapsedMs);
			elapsedMs += this.#random.exponential(millisecondsPerSecond / requestsPerSecond);
		}
	}

	#send(arrivedAt: number, elapsedMs: number): void {
		this.#requests += 1;
		const account = this.settings.accounts[promptMaker.pickByRank(this.#random, this.settings.accounts.length)]!;
		const name = `${this.settings.seed}-${this.#requests}`;
		const isBooking = this.#random.chance(this.settings.bookingShare);
		const messages = this.#prompts.next(elapsedMs);
		const stream = this.#random.chance(this.settings.streamShare);
		if (this.#inFlight.size >= this.settings.maxInFlight) {
			this.#result.notSent += 1;
			return;
		}

		const {bookingService} = this.settings;
		const request = isBooking && bookingService !== undefined
			? this.#book(name, account, bookingService, arrivedAt)
			: this.#ask(name, {
				target: this.#targets.next(), account, messages, stream,
			}, arrivedAt);
		void this.#track(request);
	}

	async #track(request: Promise<void>): Promise<void> {
		this.#inFlight.add(request);
		await request;
		this.#inFlight.delete(request);
	}

	async #ask(name: string, question: Omit<caller.Question, 'onToken'>, arrivedAt: number): Promise<void> {
		this.#result.sendQuestion();
		let tokenAt: number | undefined;
		const onToken = () => {
			const now = performance.now();
			if (tokenAt === undefined) {
				this.#result.firstToken.record(now - arrivedAt);
			} else {
				this.#result.tokenGap.record(now - tokenAt);
			}

			tokenAt = now;
		};

		const outcome = await this.#watchLost(name, question.target, this.#caller.ask({...question, onToken}));
		if (outcome.outcome === callOutcome.Outcome.Answered) {
			this.#result.total.record(performance.now() - arrivedAt);
		}

		this.#result.addQuestion(`question ${name} at ${question.target}`, outcome);
	}

	async #watchLost(
		request: string,
		target: string,
		answer: Promise<callOutcome.CallOutcome>,
	): Promise<callOutcome.CallOutcome> {
		const sentAt = Date.now();
		const outcome = await answer;
		if (outcome.outcome === callOutcome.Outcome.Lost) {
			this.#result.addLost({
				request, target, sentAt, endedAt: Date.now(), detail: outcome.detail ?? '',
			});
		}

		return outcome;
	}

	async #book(name: string, account: loadOptions.LoadAccount, service: string, arrivedAt: number): Promise<void> {
		this.#result.sendBooking();
		const key = `booking-${name}`;
		const tries: callOutcome.CallOutcome[] = [];
		do {
			if (tries.length > 0) {
				await util.sleep(repeatDelayMs); // eslint-disable-line no-await-in-loop
			}

			const target = this.#targets.next();
			const answer = this.#caller.book({
				target, account, service, key, order: name,
			});
			tries.push(await this.#watchLost(key, target, answer)); // eslint-disable-line no-await-in-loop
		} while (tries.length <= this.settings.bookingRepeats && repeatable.has(tries.at(-1)!.outcome));

		if (tries.at(-1)!.outcome === callOutcome.Outcome.Answered) {
			this.#result.bookingTotal.record(performance.now() - arrivedAt);
		}

		this.#result.addBooking({
			account: account.id, key, order: name, tries,
		});
	}
}

/** Runs a load and returns the account of every request. */
export async function runLoad(options: loadOptions.LoadOptions): Promise<loadResult.LoadResult> {
	return new LoadGenerator(loadOptions.fillDefaults(options)).run();
}
