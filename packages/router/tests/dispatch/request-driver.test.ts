import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as router from '@bluebellmast/router';

const {expect} = chai;
const {RequestEventType: eventType, FailureCause: causes} = core.request;
const clock = {now: () => 0};

/** Attempts of one request: the first fails when `firstFailure` resolves, all others succeed. */
class FailingOnceActions implements router.dispatch.RequestActions {
	attemptCount = 0;
	isRefused = false;

	constructor(private readonly driver: router.dispatch.RequestDriver, private readonly firstFailure: Promise<void>) {}

	place(): core.request.RequestEvent {
		this.attemptCount += 1;
		return {type: eventType.Placed, attemptId: `a${this.attemptCount}`, endpoint: 'e'};
	}

	async dispatch(): ReturnType<router.dispatch.RequestActions['dispatch']> {
		this.driver.applyEvent({type: eventType.Connecting});
		this.driver.applyEvent({type: eventType.Sending});
		if (this.attemptCount === 1) {
			await this.firstFailure;
			return this.driver.prepareFailure(causes.ConnectionLost, core.model.ErrorCode.EndpointFailed, 'lost');
		}

		this.driver.applyEvent({type: eventType.ResponseStarted, incarnation: 'i'});
		return {type: eventType.Completed};
	}

	async resume(): Promise<core.request.RequestEvent> {
		throw new Error('not expected');
	}

	async restart(): Promise<void> {
		throw new Error('not expected');
	}

	cancel(): void {
		// There is nothing to cancel.
	}

	finish(): void {
		// The response is not examined.
	}

	refuse(): void {
		this.isRefused = true;
	}
}

function createDriver(requestId: string, retries: router.dispatch.RetryLimiter): router.dispatch.RequestDriver {
	return new router.dispatch.RequestDriver({
		request: {
			requestId, repeatable: true, deadlineAt: 1000, maxAttempts: 3, maxResumes: 3, resumable: false, supportsForcedPrefix: false,
		},
		clock,
		retries,
		recorder: {record() {}} as unknown as router.dispatch.RequestDriverOptions['recorder'], // eslint-disable-line @typescript-eslint/no-empty-function
		account: 'club',
	});
}

// Guards against retries beyond the budget: requests at an endpoint that fails see the same free budget before any of them counts its retry.
describe('RequestDriver', () => {
	it('keeps to the retry budget when many requests fail at the same moment', async () => {
		const maxTokens = 5;
		const retries = new router.dispatch.RetryLimiter({retryRatio: 0, maxTokens});
		let fail = (): void => undefined;
		const failure = new Promise<void>(resolve => {
			fail = resolve;
		});
		const runs = Array.from({length: 60}, (_, number) => {
			const driver = createDriver(`r${number}`, retries);
			const actions = new FailingOnceActions(driver, failure);
			return {actions, end: driver.run(actions)};
		});
		fail();
		await Promise.all(runs.map(async ({end}) => end));
		const retried = runs.filter(({actions}) => actions.attemptCount > 1);
		expect(retried).to.have.length(maxTokens);
		expect(runs.filter(({actions}) => actions.isRefused)).to.have.length(60 - maxTokens);
	});
});
