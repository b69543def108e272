import type * as core from '@bluebellmast/core';
import * as chatActions from '../dispatch/chat-actions.js';
import * as requestDriver from '../dispatch/request-driver.js';
import type * as retryLimiter from '../dispatch/retry-limiter.js';
import * as serviceActions from '../dispatch/service-actions.js';
import type * as clock from '../util/clock.js';
import type * as timelineRecorder from '../util/timeline-recorder.js';
import * as callModule from './call.js';
import type * as filter from './filter.js';
import type * as requestContext from './request-context.js';

/** Options of the dispatch filter. */
export type DispatchFilterOptions = {
	readonly chat: chatActions.ChatActionsOptions;
	readonly service: serviceActions.ServiceActionsOptions;
	readonly clock: clock.Clock;
	readonly retries: retryLimiter.RetryLimiter;
	readonly recorder: timelineRecorder.TimelineRecorder;
	/** Maximum number of attempts for one request. */
	readonly maxAttempts: number;
	/** Maximum number of consecutive resumes without a new event. Default 3. */
	readonly maxResumes?: number;
};

const defaultMaxResumes = 3;

/** Selects an endpoint, sends the request to it and relays the response. The last filter of the chain. */
export class DispatchFilter implements filter.Filter {
	readonly #options: DispatchFilterOptions;

	constructor(options: DispatchFilterOptions) {
		this.#options = options;
	}

	async handle(ctx: requestContext.RequestContext, _next: filter.Next): Promise<void> {
		const driver = new requestDriver.RequestDriver({
			request: this.#createRequestOptions(ctx),
			clock: this.#options.clock,
			retries: this.#options.retries,
			recorder: this.#options.recorder,
			account: ctx.account!.id,
		});
		if (ctx.call.type === callModule.CallType.Chat) {
			const actions = new chatActions.ChatActions(ctx, ctx.call, driver, this.#options.chat);
			ctx.outcome = {execution: await driver.run(actions)};
			return;
		}

		if (ctx.call.type === callModule.CallType.Service) {
			const actions = new serviceActions.ServiceActions(ctx, ctx.call, driver, this.#options.service);
			const execution = await driver.run(actions);
			ctx.outcome = {execution, ...(actions.response && {response: actions.response})};
		}
	}

	#createRequestOptions(ctx: requestContext.RequestContext): core.request.RequestOptions {
		const isChat = ctx.call.type === callModule.CallType.Chat;
		const model = isChat
			? ctx.manifest.models.find(candidate => candidate.id === (ctx.call as callModule.ChatCall).model)
			: undefined;
		return {
			requestId: ctx.id,
			repeatable: isChat || ctx.kind!.repeatable,
			deadlineAt: ctx.deadlineAt!,
			maxAttempts: this.#options.maxAttempts,
			maxResumes: this.#options.maxResumes ?? defaultMaxResumes,
			resumable: isChat,
			supportsForcedPrefix: model?.supportsForcedPrefix ?? false,
		};
	}
}
