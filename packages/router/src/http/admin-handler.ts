import * as buffer from 'node:buffer';
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as core from '@bluebellmast/core';
import type * as recorder from '../util/recorder.js';
import * as status from './status-of.js';

/** State of one router, for operators. */
export type RouterStatus = {
	readonly vm: core.model.VmId;
	readonly incarnation: core.model.Incarnation;
	readonly dataCentre: core.model.DataCentreId;
	/** Whether the balancer is told to send requests. */
	readonly ready: boolean;
	readonly stopping: boolean;
	/** Generation in force; 0 before the first. */
	readonly generation: core.model.Generation;
	/** Whether the generation can be confirmed at present. */
	readonly confirmed: boolean;
	readonly requestsUnderWay: number;
	readonly members: readonly unknown[];
	readonly endpoints: readonly unknown[];
	readonly counters: Readonly<Record<string, number>>;
};

/** What the handler of operators' and the balancer's requests works with. */
export type AdminHandlerOptions = {
	/** SHA-256 of the operators' bearer key in hex; without it /admin/ is closed. */
	readonly operatorKeyHash?: string;
	readonly vm: core.model.VmId;
	readonly isReady: () => boolean;
	readonly status: () => RouterStatus;
	readonly recorder: recorder.Recorder;
};

const adminPrefix = '/admin/';
const healthPath = '/healthz';
const readyPath = '/readyz';

/** Answers the balancer's health and readiness probes, and operators' requests. */
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

	/** Answers a request. */
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
			refuse(res, core.model.ErrorCode.Unauthenticated, 'the operators\' bearer key is required');
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
				sendJson(res, 200, {vm: this.#options.vm, events: this.#options.recorder.select(readFilter(req))});
				return;
			}

			default: {
				refuse(res, core.model.ErrorCode.NotFound, `${path} is not offered`);
			}
		}
	}

	#isOperator(req: http.IncomingMessage): boolean {
		const {operatorKeyHash} = this.#options;
		const key = /^Bearer (\S+)$/.exec(req.headers.authorization ?? '')?.[1];
		if (operatorKeyHash === undefined || key === undefined) {
			return false;
		}

		const digest = crypto.createHash('sha256').update(key).digest();
		const expected = buffer.Buffer.from(operatorKeyHash, 'hex');
		return expected.length === digest.length && crypto.timingSafeEqual(expected, digest);
	}
}

function pathOf(req: http.IncomingMessage): string {
	return (req.url ?? '/').split('?', 1)[0]!;
}

function readFilter(req: http.IncomingMessage): core.timeline.TimelineFilter {
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

function refuse(res: http.ServerResponse, code: core.model.ErrorCode, message: string): void {
	sendJson(res, status.statusOf(code), {error: core.request.createRefusal(code, [], {message})});
}
