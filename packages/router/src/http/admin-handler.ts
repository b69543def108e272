import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import * as bearerKey from '../util/bearer-key.js';
import type * as timelineRecorder from '../util/timeline-recorder.js';
import * as httpStatusOf from './http-status-of.js';

/** Options and dependencies of `AdminHandler`. */
export type AdminHandlerOptions = {
	/** SHA-256 of the operators' bearer key in hex; without it all requests below /admin/ are refused. */
	readonly operatorKeyHash?: string;
	readonly vm: core.model.VmId;
	readonly isReady: () => boolean;
	readonly status: () => wire.http.RouterStatus;
	readonly recorder: timelineRecorder.TimelineRecorder;
};

const adminPrefix = '/admin/';
const healthPath = '/healthz';
const readyPath = '/readyz';

/** Handles the load balancer's health and readiness probes and operators' requests. */
export class AdminHandler {
	readonly #options: AdminHandlerOptions;

	constructor(options: AdminHandlerOptions) {
		this.#options = options;
	}

	/** Returns whether a request is for this handler. */
	handles(req: http.IncomingMessage): boolean {
		const path = pathOf(req);
		return path === healthPath || path === readyPath || path.startsWith(adminPrefix);
	}

	/** Handles a request and sends the response. */
	handle(req: http.IncomingMessage, res: http.ServerResponse): void {
		const path = pathOf(req);
		if (path === healthPath) {
			sendJson(res, 200, {vm: this.#options.vm});
			return;
		}

		if (path === readyPath) {
			const ready = this.#options.isReady();
			sendJson(res, ready ? 200 : 503, {vm: this.#options.vm, ready});
			return;
		}

		if (!this.#isOperator(req)) {
			sendRefusal(res, core.model.ErrorCode.Unauthenticated, 'the operators\' bearer key is required');
			return;
		}

		this.#handleOperator(path, req, res);
	}

	#handleOperator(path: string, req: http.IncomingMessage, res: http.ServerResponse): void {
		switch (path) {
			case '/admin/status': {
				sendJson(res, 200, this.#options.status());
				return;
			}

			case '/admin/timeline': {
				sendJson(res, 200, {vm: this.#options.vm, events: this.#options.recorder.select(readTimelineFilter(req))});
				return;
			}

			default: {
				sendRefusal(res, core.model.ErrorCode.NotFound, `${path} is not offered`);
			}
		}
	}

	#isOperator(req: http.IncomingMessage): boolean {
		const {operatorKeyHash} = this.#options;
		const hash = bearerKey.hashBearerKey(req.headers.authorization);
		return operatorKeyHash !== undefined && hash !== undefined && bearerKey.equalsKeyHash(hash, operatorKeyHash);
	}
}

function pathOf(req: http.IncomingMessage): string {
	return (req.url ?? '/').split('?', 1)[0]!;
}

function readTimelineFilter(req: http.IncomingMessage): core.timeline.TimelineFilter {
	const query = new URL(req.url ?? '/', 'http://router').searchParams;
	const generation = query.get('generation');
	return {
		...(query.has('request') && {requestId: query.get('request')!}),
		...(query.has('endpoint') && {endpoint: query.get('endpoint')!}),
		...(query.has('account') && {account: query.get('account')!}),
		...(generation !== null && {generation: Number(generation)}),
	};
}

function sendJson(res: http.ServerResponse, statusCode: number, value: unknown): void {
	const body = JSON.stringify(value);
	res.writeHead(statusCode, {'content-type': 'application/json', 'content-length': buffer.Buffer.byteLength(body)});
	res.end(body);
}

function sendRefusal(res: http.ServerResponse, code: core.model.ErrorCode, message: string): void {
	sendJson(res, httpStatusOf.httpStatusOf(code), {error: core.request.createRefusal(code, [], {message})});
}
