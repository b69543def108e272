import * as http from 'node:http';
import * as check from '../../check/index.js';
import type * as gatewayProcess from './gateway-process.js';
import * as platformConfig from './platform-config.js';

/** A request that a client sends. */
export type ClientRequest = Pick<check.platform.Exchange, 'requestId' | 'kind' | 'route' | 'service' | 'path' | 'key' | 'body' | 'resumedAfter' | 'deadlineMs' | 'timeoutMs'> & {
	/** Model of the route's service, absent for a plain service. */
	readonly model?: string;
	/** Milliseconds after which the client closes the connection; absent if it waits for its deadline. */
	readonly givesUpAfterMs?: number;
	/** Whether the prompt has the part on which engines end; false by default. */
	readonly hasCrashingPart?: boolean;
};

type Mutable<Value> = {-readonly [Key in keyof Value]: Value[Key]};

const {ExchangeEnd: ends} = check.platform;
/** Milliseconds after its deadline at which a client closes the connection. */
const overdueMs = 1500;

/** Sends a request on a connection of an agent and returns what the client saw. */
export async function sendRequest(
	gateway: gatewayProcess.GatewayProcess,
	agent: http.Agent,
	request: ClientRequest,
): Promise<check.platform.Exchange> {
	const {model, givesUpAfterMs, hasCrashingPart, ...sent} = request;
	const exchange: Mutable<check.platform.Exchange> = {
		...sent, gateway: gateway.name, sentAt: Date.now(), endedAt: 0, end: ends.NoResponse, responseBody: '',
	};
	return new Promise(resolve => {
		const timers: NodeJS.Timeout[] = [];
		let isConnected = false;
		const finish = (end: check.platform.ExchangeEnd): void => {
			if (exchange.endedAt === 0) {
				exchange.endedAt = Date.now();
				exchange.end = end;
				for (const timer of timers) {
					clearTimeout(timer);
				}

				resolve(exchange);
			}
		};

		const req = http.request({
			agent,
			host: gateway.host,
			port: gateway.callerPort,
			method: request.body === '' ? 'GET' : 'POST',
			path: request.path,
			headers: createHeaders(request),
		}, res => {
			exchange.status = res.statusCode;
			exchange.signature = headerOf(res, 'bluebellmast-response-seal');
			exchange.respondedId = headerOf(res, 'bluebellmast-request-id');
			res.setEncoding('utf8');
			res.on('data', (text: string) => {
				exchange.responseBody += text;
			});
			res.on('error', () => undefined);
			res.on('close', () => {
				finish(res.complete ? ends.Complete : ends.Truncated);
			});
		});
		req.on('socket', socket => {
			isConnected = !socket.connecting;
			exchange.isOnKeptConnection = req.reusedSocket;
			if (socket.connecting) {
				socket.once('connect', () => {
					isConnected = true;
				});
			}
		});
		req.on('error', () => {
			finish(isConnected ? ends.NoResponse : ends.NotConnected);
		});
		const close = (end: check.platform.ExchangeEnd): void => {
			finish(end);
			req.destroy();
		};

		timers.push(setTimeout(close, request.deadlineMs + overdueMs, ends.Overdue));
		if (givesUpAfterMs !== undefined) {
			timers.push(setTimeout(close, givesUpAfterMs, ends.GaveUp));
		}

		req.end(request.body);
	});
}

/** Creates a request for a route. */
export function createRequest(
	id: string,
	route: platformConfig.SoakRoute,
	key: string,
	deadlineMs: number,
): ClientRequest {
	return {
		requestId: id,
		kind: route.kind,
		route: route.name,
		service: route.service,
		path: `/${route.name}/${id}?n=1`,
		key,
		body: route.kind === check.platform.RequestKind.Safe ? '' : `body of ${id}`,
		deadlineMs,
		timeoutMs: route.timeoutMs,
		model: platformConfig.services.find(({name}) => name === route.service)?.model,
	};
}

function createHeaders(request: ClientRequest): http.OutgoingHttpHeaders {
	return {
		Host: platformConfig.hostName, // eslint-disable-line @typescript-eslint/naming-convention -- Header name.
		'Bluebellmast-Request-Id': request.requestId,
		'Bluebellmast-Deadline-Milliseconds': String(request.deadlineMs),
		...(request.resumedAfter !== undefined && {'Last-Event-Id': String(request.resumedAfter)}),
		...(request.key !== '' && {'Bluebellmast-Credential': request.key}),
		...(request.model !== undefined && {
			'Bluebellmast-Model': request.model,
			'Bluebellmast-Token-Usage': '400,20',
			'Bluebellmast-Prompt-Prefix': createPrompt(request),
		}),
	};
}

/** Returns the number of whole events that a client has got of a stream, the ones before it resumed included. */
export function countEvents({resumedAfter = 0, responseBody}: check.platform.Exchange): number {
	return resumedAfter + responseBody.split('\n\n').length - 1;
}

function createPrompt({requestId, hasCrashingPart}: ClientRequest): string {
	const crashingPart = hasCrashingPart ? `${check.platform.crashingPart}:50,` : '';
	return `a${Number(requestId.at(-1)) || 0}:300,${crashingPart}${Number(requestId.split('-').at(-1)).toString(16)}b:100`;
}

function headerOf(res: http.IncomingMessage, name: string): string | undefined {
	const value = res.headers[name];
	return Array.isArray(value) ? value[0] : value;
}
