import * as records from './platform-records.js';

const check = 'answers';
const signaturePrefix = 'seal-of-';
const eventPattern = /^id: (\d+)\ndata: token (\d+) of (\S+) from (\S+)$/;

/** Checks that each complete success is whole, signed, from the server that it names and for its own request; returns the findings. */
export function checkAnswers(record: records.PlatformRecord): records.Finding[] {
	const serversById = new Map<string, Set<string>>();
	for (const {requestId, server} of record.executions) {
		serversById.set(requestId, (serversById.get(requestId) ?? new Set()).add(server));
	}

	return record.exchanges
		.filter(({end, status}) => end === records.ExchangeEnd.Complete && status !== undefined && status >= 200 && status < 300)
		.flatMap(exchange => findProblems(exchange, serversById.get(exchange.requestId) ?? new Set())
			.map(problem => ({check, requestId: exchange.requestId, text: `${exchange.gateway}: ${problem}`})));
}

function findProblems(exchange: records.Exchange, servers: ReadonlySet<string>): string[] {
	if (!exchange.signature?.startsWith(signaturePrefix)) {
		return ['a success has no signature'];
	}

	const server = exchange.signature.slice(signaturePrefix.length);
	return [
		...(exchange.respondedId === exchange.requestId ? [] : [`the response bears the request id ${exchange.respondedId}`]),
		...(servers.has(server) ? [] : [`the response names ${server}, which did not execute the request`]),
		...(isStream(exchange) ? findStreamProblems(exchange, server, servers) : findPlainProblems(exchange, server)),
	];
}

function isStream(exchange: records.Exchange): boolean {
	return exchange.kind === records.RequestKind.Resumable || exchange.kind === records.RequestKind.Once;
}

function findPlainProblems(exchange: records.Exchange, server: string): string[] {
	return exchange.responseBody === JSON.stringify({server, requestId: exchange.requestId})
		? []
		: [`the body is not that of ${server}: ${exchange.responseBody}`];
}

function findStreamProblems(exchange: records.Exchange, server: string, servers: ReadonlySet<string>): string[] {
	const texts = exchange.responseBody.split('\n\n');
	const last = texts.pop();
	const events = texts.map(text => eventPattern.exec(text));
	const firstId = (exchange.resumedAfter ?? 0) + 1;
	const isInOrder = events.every((event, index) => event !== null && event[1] === String(index + firstId) && event[2] === event[1]);
	if (last !== '' || !isInOrder) {
		return ['the stream has a missing, repeated or broken event'];
	}

	return [
		...(events.length === expectedEvents(exchange) ? [] : [`the stream ends as complete after ${events.length} events`]),
		...(events.every(event => event![3] === exchange.requestId) ? [] : ['the stream has an event of another request']),
		...(events[0]?.[4] === server ? [] : [`the first event is not from ${server}`]),
		...(events.every(event => servers.has(event![4]!)) ? [] : ['an event is from a server that did not execute the request']),
	];
}

/** Number of events in each stream of the servers of a run. */
export const streamEvents = 6;

function expectedEvents(exchange: records.Exchange): number | undefined {
	return isStream(exchange) ? streamEvents - (exchange.resumedAfter ?? 0) : undefined;
}
