import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import type * as filter from './filter.js';
import type * as requestContext from './request-context.js';

const maxDeadlineMs = 3_600_000;

/** Sets the deadline of the request, and a signal that is aborted when the deadline passes or the caller disconnects. */
export class DeadlineFilter implements filter.Filter {
	async handle(ctx: requestContext.RequestContext, next: filter.Next): Promise<void> {
		const timeoutMs = parseDeadline(ctx.headers.deadlineMs, ctx.kind!.deadlineMs);
		if (timeoutMs === undefined) {
			ctx.response.sendRefusal(core.request.createRefusal(core.model.ErrorCode.InvalidRequest, [], {
				message: 'the deadline is not a number of milliseconds',
				findings: [{place: 'x-deadline-ms', message: `must be a whole number from 1 to ${maxDeadlineMs}`}],
			}));
			return;
		}

		const abortController = new AbortController();
		ctx.deadlineAt = ctx.arrivedAt + timeoutMs;
		ctx.signal = abortController.signal;
		ctx.cancelDeadline = () => {
			timer.clear();
		};

		const timer = new clients.timeouts.InputTimer(timeoutMs, () => {
			abortController.abort(core.model.ErrorCode.DeadlineExceeded);
		});
		ctx.response.onCallerDisconnect(() => {
			abortController.abort(core.model.ErrorCode.CallerDisconnected);
		});
		try {
			await next();
		} finally {
			timer.clear();
		}
	}
}

function parseDeadline(header: string | undefined, defaultMs: number): number | undefined {
	if (header === undefined) {
		return defaultMs;
	}

	const value = Number(header);
	return Number.isInteger(value) && value >= 1 && value <= maxDeadlineMs ? value : undefined;
}
