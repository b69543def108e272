import * as core from '@bluebellmast/core';
import * as call from '../call/index.js';
import * as eventLog from '../util/event-log.js';

/** Writes the lines of the event log that say how requests ended. */
export class RequestLog {
	constructor(private readonly log: eventLog.EventLog) {}

	/** Logs a request that has crossed the close of its connection, with its id if it is known. */
	writeDropped(request: string | undefined): void {
		this.log.write(eventLog.LogEvent.RequestDropped, {request});
	}

	/** Logs an unexpected error of the handling of a request. */
	writeError(err: unknown): void {
		this.log.write(eventLog.LogEvent.InternalError, {task: 'request', problem: String(err)});
	}

	/** Logs the end of a request. */
	writeEnd(ctx: call.RequestContext, refusal: call.Refusal | undefined, now: number): void {
		const {head, res, route} = ctx;
		this.log.write(eventLog.LogEvent.RequestEnded, {
			request: head.requestId,
			outcome: getOutcome(ctx, refusal),
			route: route?.name,
			kind: route?.kind,
			status: res.headersSent ? res.statusCode : 0,
			code: refusal?.code,
			retryAfterMs: refusal?.retryAfterMs === undefined ? undefined : Math.round(refusal.retryAfterMs),
			obstacle: ctx.obstacle,
			...refusal?.inputs,
			...ctx.responseTimes,
			tookMs: Math.round(now - ctx.arrivedAt),
		});
	}

	/** Logs a response that ended if its connection is closed before the last byte has left the process. */
	watchUnsent({head, res}: call.RequestContext): void {
		if (!res.writableEnded || res.writableFinished) {
			return;
		}

		res.once('close', () => {
			if (!res.writableFinished) {
				this.log.write(eventLog.LogEvent.ResponseUnsent, {
					request: head.requestId, status: res.statusCode, problem: res.req.socket.errored?.message ?? 'connection closed',
				});
			}
		});
	}
}

function getOutcome({res, isTruncated}: call.RequestContext, refusal: call.Refusal | undefined): core.log.RequestOutcome {
	if (refusal !== undefined && refusal.code !== call.RefusalCode.CallerDisconnected) {
		return core.log.RequestOutcome.Refused;
	}

	if (isTruncated) {
		return core.log.RequestOutcome.Truncated;
	}

	return res.writableEnded ? core.log.RequestOutcome.Answered : core.log.RequestOutcome.CallerDisconnected;
}
