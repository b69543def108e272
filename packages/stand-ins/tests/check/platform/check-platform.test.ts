import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

const {expect} = chai;
const {platform} = standIns.check;
const {RequestKind: kinds, ExchangeEnd: ends, DisruptionTarget: targets} = platform;
type Platform = typeof standIns.check.platform;
type PlatformRecord = Parameters<Platform['checkPlatform']>[0];

const second = 1000;
const bounds: PlatformRecord['bounds'] = {
	settleWindowMs: 3 * second, configPropagationMs: 2 * second, outerBoundMs: 5 * second, revocationMs: 5 * second, versionMs: 8 * second,
	drainMs: 2 * second, graceMs: 8 * second, lossSlackMs: 200, recoveryMs: 12 * second, leaseMs: 3 * second, thawMs: 300,
	retryRatio: 0.2, retrySlack: 2, retryWindowMs: 10 * second,
};
/** Time at which the request of the sound record is sent. */
const sentAt = 100 * second;

const plainExchange: PlatformRecord['exchanges'][number] = {
	requestId: 'q-1', gateway: 'gateway-0', kind: kinds.Unsafe, route: 'book', service: 'plain', path: '/book/q-1', key: 'key-1', body: 'body of q-1',
	sentAt, deadlineMs: 2 * second, timeoutMs: 3 * second, endedAt: sentAt + 50, end: ends.Complete, status: 200, signature: 'seal-of-plain-0',
	respondedId: 'q-1', responseBody: '{"server":"plain-0","requestId":"q-1"}',
};
const plainExecution: PlatformRecord['executions'][number] = {
	server: 'plain-0', requestId: 'q-1', path: '/book/q-1', body: 'body of q-1', arrivedAt: sentAt + 10, deadlineMs: 1990, account: 'account-1', hasKey: false,
};

function createEvents(server = 'chat-0', ids = [1, 2, 3, 4, 5, 6]): string {
	return ids.map(id => `id: ${id}\ndata: token ${id} of q-2 from ${server}\n\n`).join('');
}

const streamExchange: PlatformRecord['exchanges'][number] = {
	...plainExchange, requestId: 'q-2', kind: kinds.Once, route: 'chat', service: 'chat', path: '/chat/q-2', body: 'body of q-2', timeoutMs: 8 * second,
	signature: 'seal-of-chat-0', respondedId: 'q-2', responseBody: createEvents(),
};
const streamExecution: PlatformRecord['executions'][number] = {
	...plainExecution, server: 'chat-0', requestId: 'q-2', path: '/chat/q-2', body: 'body of q-2',
};
const start: PlatformRecord['starts'][number] = {
	server: 'chat-0', requestId: 'q-2', version: 2, at: sentAt + 30,
};
const config: PlatformRecord['configs'][number] = {
	version: 1, sentAt: -1, acknowledgedAt: 0, routes: ['book', 'chat'], timeoutsMs: {book: 3 * second, chat: 8 * second}, accounts: {'key-1': 'account-1', 'key-2': 'account-2'},
};
const gatewayStart: PlatformRecord['gatewayStarts'][number] = {
	gateway: 'gateway-0', at: 0, readyAt: second, endedAt: 200 * second,
};
const order: PlatformRecord['orders'][number] = {
	server: 'chat-0', holder: 'gateway-0', fence: 4, at: 50 * second,
};
const outdated = [{server: 'chat-0', version: 1}, {server: 'chat-1', version: 1}];
const soundRecord: PlatformRecord = {
	bounds,
	exchanges: [plainExchange, streamExchange],
	executions: [plainExecution, streamExecution],
	starts: [start],
	models: {'chat-0': 'model-chat', 'chat-1': 'model-chat'},
	disruptions: [],
	versions: [{model: 'model-chat', version: 1, acknowledgedAt: 0}, {model: 'model-chat', version: 2, acknowledgedAt: second}],
	configs: [config],
	leavingPeriods: [],
	plannedStops: [],
	gatewayStarts: [gatewayStart],
	orders: [order],
	finalVersions: [{server: 'chat-0', version: 3}, {server: 'chat-1', version: 3}],
	endedAt: 200 * second,
};

function withPlain(changes: Partial<typeof plainExchange>, executions = [plainExecution]): Partial<PlatformRecord> {
	return {exchanges: [{...plainExchange, ...changes}], executions, starts: []};
}

function withStream(changes: Partial<typeof streamExchange>): Partial<PlatformRecord> {
	return {exchanges: [{...streamExchange, ...changes}], executions: [streamExecution], starts: []};
}

function disrupt(target: PlatformRecord['disruptions'][number]['target'], name: string, from: number, to: number): PlatformRecord['disruptions'][number] {
	return {
		target, name, isPlanned: false, from, to,
	};
}

const cut = {end: ends.NoResponse, status: undefined};

/** Creates requests that were executed with the given deadlines, 0.6 s after one another. */
function withDeadlines(count: number, deadlinesMs: ReadonlyArray<number | undefined>): Partial<PlatformRecord> {
	const ids = Array.from({length: count}, (_, index) => `q-${index}`);
	return {
		exchanges: ids.map(requestId => ({
			...plainExchange, requestId, kind: kinds.Safe, respondedId: requestId, responseBody: JSON.stringify({server: 'plain-0', requestId}),
		})),
		executions: ids.flatMap(requestId => deadlinesMs.map((deadlineMs, index) => ({
			...plainExecution, requestId, deadlineMs, arrivedAt: sentAt + (600 * index),
		}))),
		starts: [],
	};
}

function withLost(count: number, changes: Partial<typeof plainExchange> = {}): Partial<PlatformRecord> {
	const ids = Array.from({length: count}, (_, index) => `q-${index}`);
	return {
		exchanges: ids.map(requestId => ({
			...plainExchange, ...cut, ...changes, requestId,
		})),
		executions: ids.map(requestId => ({...plainExecution, requestId, ...(changes.key === '' && {account: undefined})})),
		starts: [],
	};
}

/** Creates requests of one account that are executed at intervals, of which a quota allows 31 in 8 s. */
function withQuota(count: number, intervalMs: number): Partial<PlatformRecord> {
	const ids = Array.from({length: count}, (_, index) => `q-${index}`);
	return {
		bounds: {
			...bounds, quota: {
				requestsPerSecond: 2, burst: 10, windowMs: 8 * second, overshoot: 0.1, slack: 3,
			},
		},
		exchanges: ids.map(requestId => ({
			...plainExchange, requestId, path: `/book/${requestId}`, respondedId: requestId, responseBody: JSON.stringify({server: 'plain-0', requestId}),
		})),
		executions: ids.map((requestId, index) => ({
			...plainExecution, requestId, path: `/book/${requestId}`, arrivedAt: sentAt + (index * intervalMs),
		})),
		starts: [],
	};
}

const refused = {status: 503, signature: undefined, responseBody: ''};
const denied = {status: 404, signature: undefined, responseBody: ''};
const newerConfig = {...config, version: 2, acknowledgedAt: sentAt - (3 * second)};
const newestConfig = {
	...config, version: 2, sentAt: sentAt + 10, acknowledgedAt: sentAt + 20,
};
const storeOutage = disrupt(targets.Store, '', sentAt - second, sentAt + second);
const newerVersions: PlatformRecord['versions'] = [...soundRecord.versions, {model: 'model-chat', version: 3, acknowledgedAt: sentAt - (9 * second)}];

/** Creates requests with the crashing part that arrive one after the other, from a time after the given number of ends on. */
function withCrashingPart(ends: number, arrivals: number, firstAfterMs: number): Partial<PlatformRecord> {
	const ids = Array.from({length: arrivals}, (_, index) => `q-${index}`);
	const arrivedAt = sentAt + (ends * 10) + firstAfterMs;
	return {
		crashes: Array.from({length: ends}, (_, index) => ({server: 'chat-0', at: sentAt + (index * 10)})),
		exchanges: ids.map(requestId => ({
			...streamExchange, requestId, path: `/chat/${requestId}`, endedAt: arrivedAt + 50, respondedId: undefined, end: platform.ExchangeEnd.GaveUp,
			status: undefined, responseBody: '', signature: undefined,
		})),
		executions: ids.map(requestId => ({
			...streamExecution, requestId, path: `/chat/${requestId}`, arrivedAt, endedAt: arrivedAt + 50, deadlineMs: 100, hasCrashingPart: true,
		})),
		starts: [],
	};
}

/** Creates requests whose clients leave after 0.1 s and on which a server works until some time after. */
function withGone(count: number, kind: typeof plainExchange.kind, endsAfterMs: number | undefined, arrivesAfterMs = 0): Partial<PlatformRecord> {
	const ids = Array.from({length: count}, (_, index) => `q-${index}`);
	return {
		exchanges: ids.map(requestId => ({
			...plainExchange, requestId, kind, end: ends.GaveUp, endedAt: sentAt + 100, status: undefined,
		})),
		executions: ids.map(requestId => ({
			...plainExecution, requestId, arrivedAt: sentAt + 100 + arrivesAfterMs, expectedEndAt: sentAt + second,
			...(endsAfterMs !== undefined && {endedAt: sentAt + 100 + endsAfterMs}),
		})),
		starts: [],
	};
}

/** Creates a request that is sent some time after the beginning of a block of 1.5 s, on a connection that its client has used before. */
function withBlock(sentAfterMs: number, endedAfterMs: number, changes: Partial<typeof plainExchange> = {}): Partial<PlatformRecord> {
	return {
		exchanges: [{
			...plainExchange, ...cut, sentAt: sentAt + sentAfterMs, endedAt: sentAt + endedAfterMs, deadlineMs: 3 * second, isOnKeptConnection: true, ...changes,
		}],
		executions: [],
		starts: [],
		blocks: [{gateway: 'gateway-0', from: sentAt, to: sentAt + 1500}],
	};
}

/** Creates ten requests within 5 s, each of which arrives a number of times at once. */
function withArrivals(times: number, retryAfterMs = 0): Partial<PlatformRecord> {
	const ids = Array.from({length: 10}, (_, index) => `q-${index}`);
	const atOf = (index: number): number => sentAt + (index * 500);
	return {
		exchanges: ids.map((requestId, index) => ({
			...plainExchange, requestId, kind: kinds.Safe, sentAt: atOf(index), endedAt: atOf(index) + 50, ...refused,
		})),
		executions: [],
		starts: [],
		arrivals: ids.flatMap((requestId, index) => Array.from({length: times}, (_, retry) => ({
			service: 'plain', requestId, at: atOf(index) + (retry * retryAfterMs),
		}))),
	};
}

type Case = {
	readonly name: string;
	readonly changes: Partial<PlatformRecord>;
	/** Part of the one finding; absent if the record is sound. */
	readonly finding?: string;
	/** Number of findings; default 1 if there is a finding. */
	readonly findings?: number;
};

const cases: readonly Case[] = [
	{name: 'a sound record', changes: {}},
	{name: 'a success without a signature', changes: withPlain({signature: undefined}), finding: 'no signature'},
	{name: 'a response with the id of another request', changes: withPlain({respondedId: 'q-9'}), finding: 'bears the request id q-9'},
	{
		name: 'a response that names another server',
		changes: withPlain({signature: 'seal-of-plain-1', responseBody: '{"server":"plain-1","requestId":"q-1"}'}),
		finding: 'names plain-1, which did not execute',
	},
	{
		name: 'a body of another request',
		changes: withPlain({responseBody: '{"server":"plain-0","requestId":"q-9"}'}),
		finding: 'the body is not that of plain-0',
	},
	{name: 'a body that looks complete but is not', changes: withPlain({responseBody: '{"server":"pl'}), finding: 'the body is not that of plain-0'},
	{
		name: 'a stream with a missing event',
		changes: withStream({responseBody: createEvents('chat-0', [1, 2, 4, 5, 6])}),
		finding: 'missing, repeated or broken',
	},
	{
		name: 'a stream with a repeated event',
		changes: withStream({responseBody: createEvents('chat-0', [1, 2, 2, 3, 4, 5])}),
		finding: 'missing, repeated or broken',
	},
	{
		name: 'a stream that ends as complete too early',
		changes: withStream({responseBody: createEvents('chat-0', [1, 2, 3])}),
		finding: 'ends as complete after 3 events',
	},
	{name: 'a stream that ends in an event', changes: withStream({responseBody: `${createEvents()}id: 7\nda`}), finding: 'missing, repeated or broken'},
	{
		name: 'a stream from another server than it names',
		changes: {...withStream({kind: kinds.Resumable, responseBody: createEvents('chat-1')}), executions: [streamExecution, {...streamExecution, server: 'chat-1'}]},
		finding: 'the first event is not from chat-0',
	},
	{
		name: 'a resumed stream', changes: withStream({resumedAfter: 2, responseBody: createEvents('chat-0', [3, 4, 5, 6])}),
	},
	{
		name: 'a resumed stream that begins with an event that the client has',
		changes: withStream({resumedAfter: 2, responseBody: createEvents('chat-0', [2, 3, 4, 5, 6])}),
		finding: 'missing, repeated or broken',
	},
	{
		name: 'a resumed stream that begins anew',
		changes: withStream({resumedAfter: 2, responseBody: createEvents()}),
		finding: 'missing, repeated or broken',
	},
	{
		name: 'a resumed stream that ends as complete too early',
		changes: withStream({resumedAfter: 2, responseBody: createEvents('chat-0', [3, 4])}),
		finding: 'ends as complete after 2 events',
	},
	{name: 'three requests that a server works on long after their clients have left', changes: withGone(3, kinds.Safe, 600)},
	{
		name: 'requests that a server works on long after their clients have left', changes: withGone(4, kinds.Safe, 600), findings: 4,
		finding: 'plain-0 still worked on a safe request 500 ms after its client had left',
	},
	{
		name: 'requests that a server never ends after their clients have left', changes: withGone(4, kinds.Safe, undefined), findings: 4,
		finding: 'still worked on a safe request',
	},
	{name: 'requests that servers end shortly after their clients have left', changes: withGone(9, kinds.Safe, 400)},
	{
		name: 'requests whose connections are closed shortly after their clients have left, while the server is silent',
		changes: {...withGone(9, kinds.Safe, 3), silences: [{server: 'plain-0', from: sentAt, to: sentAt + 900}]},
	},
	{
		name: 'requests whose connections stay open after their clients have left until a silence of the server ends',
		changes: {...withGone(4, kinds.Safe, 810), silences: [{server: 'plain-0', from: sentAt, to: sentAt + 900}]}, findings: 4,
		finding: 'still worked on a safe request 500 ms after',
	},
	{name: 'unsafe requests that a server completes after their clients have left', changes: withGone(9, kinds.Unsafe, 600)},
	{
		name: 'requests that a server works on after their clients have left a suspended gateway',
		changes: {...withGone(9, kinds.Safe, 600), disruptions: [disrupt(targets.Gateway, 'gateway-0', sentAt, sentAt + second)]},
	},
	{name: 'three requests that reach a server long after their clients have left', changes: withGone(3, kinds.Unsafe, 700, 600)},
	{
		name: 'requests that reach a server long after their clients have left', changes: withGone(4, kinds.Unsafe, 700, 600), findings: 4,
		finding: 'arrived at plain-0 600 ms after its client had left',
	},
	{
		name: 'a request that is lost at a gateway that was blocked when it was sent', changes: withBlock(700, 1520),
		finding: 'no_response, sent 700 ms and ended 1520 ms after the beginning of a block of 1500 ms',
	},
	{
		name: 'a request that is lost at a gateway that was blocked after it was sent', changes: withBlock(-300, 1520),
		finding: 'no_response, sent -300 ms',
	},
	{
		name: 'a request that is lost when its time was over at the end of a block', changes: withBlock(100, 1520, {deadlineMs: second}),
		finding: 'no_response, sent 100 ms',
	},
	{
		name: 'a stream that is cut beside a block', changes: withBlock(100, 1520, {
			kind: kinds.Once, route: 'chat', service: 'chat', end: ends.Truncated, status: 200, timeoutMs: 8 * second,
		}),
		finding: 'truncated, sent 100 ms',
	},
	{
		name: 'a request that is lost beside a block, though the same gateway is stopped as planned',
		changes: {
			...withBlock(700, 1520), plannedStops: [{gateway: 'gateway-0', at: sentAt + 300}],
			disruptions: [{...disrupt(targets.Gateway, 'gateway-0', sentAt + 300, sentAt + 2000), isPlanned: true}],
		},
		finding: 'no_response, sent', findings: 2,
	},
	{name: 'a request that is refused after a block', changes: withBlock(700, 1520, {end: ends.Complete, ...refused})},
	{name: 'a request that crosses the close of its connection just before a block', changes: withBlock(-10, 30)},
	{name: 'a request on a new connection that is reset after a block', changes: withBlock(700, 1520, {isOnKeptConnection: false})},
	{name: 'a request that is lost beside the block of another gateway', changes: withBlock(700, 1520, {gateway: 'gateway-1'})},
	{
		name: 'a stream that is cut beside a block when its time is over', changes: withBlock(100, 1520, {
			kind: kinds.Once, route: 'chat', service: 'chat', end: ends.Truncated, status: 200, deadlineMs: second, timeoutMs: 8 * second,
		}),
	},
	{
		name: 'a request that is lost at a blocked gateway that is killed',
		changes: {...withBlock(700, 1520), disruptions: [disrupt(targets.Gateway, 'gateway-0', sentAt + 800, sentAt + 5000)]},
	},
	{name: 'arrivals without repeats', changes: withArrivals(1)},
	{
		name: 'more repeated arrivals than the budget allows', changes: withArrivals(2),
		finding: 'plain got 10 repeated arrivals in a window, 4 are allowed',
	},
	{
		name: 'repeated arrivals that a budget allows',
		changes: {...withArrivals(2), bounds: {...bounds, retrySlack: 8}},
	},
	{
		name: 'repeated arrivals of one window that come late', changes: withArrivals(2, 9 * second),
		finding: 'plain got 10 repeated arrivals in a window, 4 are allowed',
	},
	{
		name: 'a gateway that responds that it is ready long after SIGTERM',
		changes: {plannedStops: [{gateway: 'gateway-0', at: 150 * second}], gatewayStarts: [{...gatewayStart, lastReadyAt: (152 * second) + 1}]},
		finding: 'gateway-0 responded that it is ready 2001 ms after SIGTERM',
	},
	{
		name: 'a gateway that responds that it is ready shortly after SIGTERM',
		changes: {plannedStops: [{gateway: 'gateway-0', at: 150 * second}], gatewayStarts: [{...gatewayStart, lastReadyAt: 152 * second}]},
	},
	{
		name: 'a gateway whose next process responds that it is ready',
		changes: {
			plannedStops: [{gateway: 'gateway-0', at: 150 * second}],
			gatewayStarts: [{...gatewayStart, lastReadyAt: 150 * second, endedAt: 151 * second}, {
				...gatewayStart, at: 152 * second, readyAt: 153 * second, lastReadyAt: 190 * second,
			}],
		},
	},
	{name: 'a truncated stream that does not look complete', changes: withStream({end: ends.Truncated, responseBody: createEvents('chat-0', [1, 2])})},
	{
		name: 'a request that no client sent',
		changes: {executions: [...soundRecord.executions, {...plainExecution, requestId: 'q-9'}]},
		finding: 'no client sent',
	},
	{
		name: 'an unsafe request that was executed twice',
		changes: withPlain({}, [plainExecution, {...plainExecution, server: 'plain-1'}]),
		finding: 'executed 2 times',
	},
	{name: 'a safe request that was executed twice', changes: withPlain({kind: kinds.Safe}, [plainExecution, {...plainExecution, server: 'plain-1'}])},
	{name: 'a refused request that was not executed', changes: withPlain(refused, [])},
	{name: 'a refused request that was executed', changes: withPlain(refused), finding: 'refused with 503 and executed'},
	{
		name: 'a refused request that was executed later',
		changes: withPlain({...refused, status: 429}, [{...plainExecution, arrivedAt: sentAt + second, deadlineMs: 990}]),
		finding: 'refused with 429 and executed',
	},
	{name: 'an error of the gateway that leaves the execution state open', changes: withPlain({status: 502, signature: undefined, responseBody: ''})},
	{name: 'a changed body', changes: withPlain({}, [{...plainExecution, body: 'another'}]), finding: 'path or body was changed'},
	{name: 'a key that was passed on', changes: withPlain({}, [{...plainExecution, hasKey: true}]), finding: 'key was passed on'},
	{
		name: 'the account of another key',
		changes: withPlain({}, [{...plainExecution, account: 'account-2'}]),
		finding: 'an account that never held the key',
	},
	{name: 'requests with the crashing part within the settle window after the fifth end', changes: withCrashingPart(5, 9, 2000)},
	{name: 'three requests with the crashing part after the window', changes: withCrashingPart(5, 3, 3500)},
	{name: 'requests with the crashing part after four ends', changes: withCrashingPart(4, 9, 3500)},
	{
		name: 'four requests with the crashing part after the window', changes: withCrashingPart(5, 4, 3500),
		finding: '4 requests with the part reached engines of model-chat after 5 had ended',
	},
	{
		name: 'requests with the crashing part from a gateway that is not in touch',
		changes: {...withCrashingPart(5, 9, 3500), disruptions: [disrupt(targets.Gateway, 'gateway-0', sentAt + (2 * second), sentAt + (3 * second))]},
	},
	{name: 'up to 20 deadlines that are longer than the client\'s', changes: withDeadlines(20, [2600])},
	{
		name: 'many deadlines that are longer than the client\'s', changes: withDeadlines(21, [2600]), findings: 21, finding: 'received the deadline 2600 ms',
	},
	{
		name: 'many requests without a deadline', changes: withDeadlines(21, [undefined]), findings: 21, finding: 'received the deadline undefined ms',
	},
	{
		name: 'many repeats with a deadline that ends after the first one', changes: withDeadlines(21, [1990, 1990]), findings: 21, finding: 'received the deadline 1990 ms',
	},
	{name: 'many repeats with a deadline that ends with the first one', changes: withDeadlines(21, [1990, 1390])},
	{
		name: 'many long deadlines of a gateway that was suspended',
		changes: {...withDeadlines(21, [2600]), disruptions: [disrupt(targets.Gateway, 'gateway-0', sentAt, sentAt + 5)]},
	},
	{name: 'a start on a replaced version after the bound', changes: {versions: newerVersions}, finding: 'started on version 2'},
	{
		name: 'a start on a replaced version within the bound',
		changes: {versions: [...soundRecord.versions, {model: 'model-chat', version: 3, acknowledgedAt: sentAt - (7 * second)}]},
	},
	{name: 'a start on an old version of another model', changes: {versions: [...soundRecord.versions, {model: 'model-code', version: 9, acknowledgedAt: 0}]}},
	{
		name: 'a start on a replaced version while another gateway, which leads, is suspended',
		changes: {versions: newerVersions, disruptions: [disrupt(targets.Gateway, 'gateway-1', sentAt - (9 * second), sentAt + second)]},
		finding: 'started on version 2',
	},
	{
		name: 'a start on a replaced version after a disruption of the store, before the bound has passed in one calm stretch',
		changes: {versions: newerVersions, disruptions: [disrupt(targets.Store, '', sentAt - (9 * second), sentAt - (8 * second))]},
	},
	{
		name: 'a start on a replaced version from a gateway that was suspended just before',
		changes: {versions: newerVersions, disruptions: [disrupt(targets.Gateway, 'gateway-0', sentAt - (4 * second), sentAt - second)]},
	},
	{
		name: 'a request with a key that was revoked before the bound',
		changes: {configs: [config, {...newerConfig, acknowledgedAt: sentAt - (6 * second), accounts: {'key-2': 'account-2'}}], ...withPlain({})},
		finding: 'was revoked more than 5000 ms before',
	},
	{
		name: 'a request with a revoked key at a gateway that was suspended',
		changes: {
			configs: [config, {...newerConfig, acknowledgedAt: sentAt - (6 * second), accounts: {'key-2': 'account-2'}}],
			disruptions: [disrupt(targets.Gateway, 'gateway-0', sentAt - (7 * second), sentAt - 1)],
			...withPlain({}),
		},
		finding: 'was revoked more than 5000 ms before',
	},
	{
		name: 'a request on a route that was removed before the bound',
		changes: {configs: [config, {...newerConfig, routes: ['chat']}], ...withPlain({})},
		finding: 'as only a configuration allows that was replaced',
	},
	{
		name: 'a request on a route that was removed within the bound',
		changes: {configs: [config, {...newerConfig, acknowledgedAt: sentAt - second, routes: ['chat']}], ...withPlain({})},
	},
	{
		name: 'a request on a route that was removed while the store was down',
		changes: {
			configs: [config, {...newerConfig, routes: ['chat']}],
			disruptions: [disrupt(targets.Store, '', sentAt - (4 * second), sentAt - second)],
			...withPlain({}),
		},
	},
	{name: 'a denied request that every configuration allows', changes: withPlain(denied, []), finding: 'denied with 404'},
	{
		name: 'a denied request on a route that was added before the bound',
		changes: {configs: [{...config, routes: ['chat']}, newerConfig], ...withPlain(denied, [])},
		finding: 'denied with 404',
	},
	{
		name: 'a denied request on a route that was added within the bound',
		changes: {configs: [{...config, routes: ['chat']}, {...newerConfig, acknowledgedAt: sentAt - second}], ...withPlain(denied, [])},
	},
	{
		name: 'a request to a server that left before the bound',
		changes: {leavingPeriods: [{server: 'plain-0', from: sentAt - (3 * second), to: sentAt + second}]},
		finding: 'after the store listed it as leaving',
	},
	{name: 'a request to a server that left within the bound', changes: {leavingPeriods: [{server: 'plain-0', from: sentAt - second, to: sentAt + second}]}},
	{
		name: 'a request to a leaving server from a gateway that was suspended',
		changes: {
			leavingPeriods: [{server: 'plain-0', from: sentAt - (3 * second), to: sentAt + second}],
			disruptions: [disrupt(targets.Gateway, 'gateway-0', sentAt - (3 * second), sentAt - second)],
		},
	},
	{
		name: 'a request that is kept waiting past its deadline',
		changes: withPlain({end: ends.Overdue, endedAt: sentAt + (3.5 * second), status: undefined}),
		finding: 'overdue 1500 ms after the deadline',
	},
	{
		name: 'a request that is kept waiting by a suspended gateway',
		changes: {
			...withPlain({end: ends.Overdue, endedAt: sentAt + (3.5 * second), status: undefined}),
			disruptions: [disrupt(targets.Gateway, 'gateway-0', sentAt, sentAt + (4 * second))],
		},
	},
	{
		name: 'a request that a planned stop interrupts',
		changes: {
			...withPlain(cut),
			plannedStops: [{gateway: 'gateway-0', at: sentAt - 20}],
			disruptions: [{...disrupt(targets.Gateway, 'gateway-0', sentAt - 20, sentAt + second), isPlanned: true}],
		},
		finding: 'no_response, sent 20 ms and ended 70 ms after SIGTERM',
	},
	{
		name: 'a stream that a planned stop truncates',
		changes: {
			...withStream({end: ends.Truncated, responseBody: createEvents('chat-0', [1])}),
			plannedStops: [{gateway: 'gateway-0', at: sentAt + 20}],
			disruptions: [{...disrupt(targets.Gateway, 'gateway-0', sentAt + 20, sentAt + second), isPlanned: true}],
		},
		finding: 'truncated, sent -20 ms',
	},
	{
		name: 'a request that crosses the close of a gateway that stops and is not executed',
		changes: {...withPlain(cut, []), plannedStops: [{gateway: 'gateway-0', at: sentAt - 20}]},
	},
	{
		name: 'a request that is lost in a crash during a planned stop',
		changes: {
			...withPlain(cut),
			plannedStops: [{gateway: 'gateway-0', at: sentAt - 20}],
			disruptions: [disrupt(targets.Server, 'plain-0', sentAt, sentAt + second)],
		},
	},
	{
		name: 'up to three lost responses',
		changes: withLost(3),
	},
	{
		name: 'a lost response to each of four requests',
		changes: withLost(4),
		findings: 4,
		finding: 'no_response after 50 ms',
	},
	{
		name: 'lost responses to requests that no server executed',
		changes: {...withLost(4), executions: []},
	},
	{
		name: 'lost responses while a server is down',
		changes: {...withLost(4), disruptions: [disrupt(targets.Server, 'plain-0', sentAt, sentAt + 10)]},
	},
	{
		name: 'lost responses while a server is silent',
		changes: {...withLost(4), silences: [{server: 'plain-0', from: sentAt - second, to: sentAt + second}]},
		findings: 4,
		finding: 'no_response after 50 ms',
	},
	{
		name: 'lost responses while the store is down',
		changes: {...withLost(4), disruptions: [storeOutage]},
	},
	{
		name: 'lost responses to requests without a key while the store is down',
		changes: {...withLost(4, {key: ''}), disruptions: [storeOutage]},
		findings: 4,
		finding: 'no_response after 50 ms',
	},
	{
		name: 'a request that is interrupted after a change of the configuration',
		changes: {...withPlain(cut), configs: [config, newestConfig]},
		finding: 'unsafe, no_response after 50 ms',
	},
	{
		name: 'a request that is interrupted just before the time for a change of the configuration has passed',
		changes: {...withPlain(cut), configs: [config, {...newestConfig, sentAt: sentAt - (3 * second), acknowledgedAt: sentAt - (3 * second)}]},
		finding: 'unsafe, no_response after 50 ms',
	},
	{
		name: 'a request that is interrupted after the time for a change of the configuration has passed',
		changes: {...withPlain(cut), configs: [config, {...newestConfig, sentAt: sentAt - (3 * second), acknowledgedAt: sentAt - (3 * second) - 1}]},
	},
	{
		name: 'a request that ended before the configuration was sent',
		changes: {...withPlain(cut), configs: [config, {...newestConfig, sentAt: sentAt + 51, acknowledgedAt: sentAt + 60}]},
	},
	{
		name: 'a stream that is truncated beside a change of the configuration while its server is silent',
		changes: {
			...withStream({end: ends.Truncated, responseBody: createEvents('chat-0', [1])}),
			configs: [config, newestConfig],
			silences: [{server: 'chat-0', from: sentAt - second, to: sentAt + second}],
		},
		finding: 'once, truncated 200 after 50 ms',
	},
	{
		name: 'a failure of the gateway itself beside a change of the configuration',
		changes: {...withPlain({status: 502, signature: undefined, responseBody: ''}), configs: [config, newestConfig]},
		finding: 'unsafe, complete 502 after 50 ms',
	},
	{
		name: 'a failure of a server beside a change of the configuration',
		changes: {...withPlain({status: 500}), configs: [config, newestConfig]},
	},
	{
		name: 'a request that is refused beside a change of the configuration',
		changes: {...withPlain(refused, []), configs: [config, newestConfig]},
	},
	{
		name: 'a request that crosses the close of its connection and is not passed on, beside a change of the configuration',
		changes: {...withPlain(cut, []), configs: [config, newestConfig]},
	},
	{
		name: 'a request that is not passed on and is interrupted long after it was sent, beside a change of the configuration',
		changes: {...withPlain({...cut, endedAt: sentAt + 201}, []), configs: [config, newestConfig]},
		finding: 'unsafe, no_response after 201 ms',
	},
	{
		name: 'a request that is interrupted beside a change of the configuration when most of its time is used',
		changes: {...withPlain({...cut, endedAt: sentAt + 1400}), configs: [config, newestConfig]},
	},
	{
		name: 'a request that is interrupted when most of a shorter timeout is used, which may be in force',
		changes: {
			...withPlain({...cut, endedAt: sentAt + 800}),
			configs: [config, {...newestConfig, timeoutsMs: {...config.timeoutsMs, book: second}}],
		},
	},
	{
		name: 'a request that is interrupted beside a change of the configuration after a server crashed',
		changes: {
			...withPlain(cut), configs: [config, newestConfig], disruptions: [disrupt(targets.Server, 'plain-1', sentAt - (4 * second), sentAt - (3 * second))],
		},
	},
	{
		name: 'a request that is interrupted beside a change of the configuration while another gateway stops as planned',
		changes: {
			...withPlain(cut), configs: [config, newestConfig],
			disruptions: [{...disrupt(targets.Gateway, 'gateway-1', sentAt, sentAt + second), isPlanned: true}],
		},
		finding: 'unsafe, no_response after 50 ms',
	},
	{
		name: 'a request that is interrupted beside a change of the configuration while the store is down',
		changes: {...withPlain(cut), configs: [config, newestConfig], disruptions: [storeOutage]},
	},
	{
		name: 'a request without a key that is interrupted beside a change of the configuration while the store is down',
		changes: {...withPlain({...cut, key: ''}, [{...plainExecution, account: undefined}]), configs: [config, newestConfig], disruptions: [storeOutage]},
		finding: 'unsafe, no_response after 50 ms',
	},
	{
		name: 'a stream without a key that is interrupted beside a change of the configuration while the store is down',
		changes: {
			...withStream({key: '', end: ends.Truncated, responseBody: createEvents('chat-0', [1])}),
			executions: [{...streamExecution, account: undefined}],
			configs: [config, newestConfig],
			disruptions: [storeOutage],
		},
	},
	{
		name: 'a request that is interrupted after SIGHUP of its gateway',
		changes: {...withPlain({...cut, endedAt: sentAt + 1900}), reloads: [{gateway: 'gateway-0', at: sentAt + 1800}]},
		finding: 'unsafe, no_response after 1900 ms',
	},
	{
		name: 'a request that is interrupted, and was sent shortly after SIGHUP of its gateway',
		changes: {...withPlain(cut), reloads: [{gateway: 'gateway-0', at: sentAt - (2 * second)}]},
		finding: 'unsafe, no_response after 50 ms',
	},
	{
		name: 'a request that is interrupted, and was sent long after SIGHUP of its gateway',
		changes: {...withPlain(cut), reloads: [{gateway: 'gateway-0', at: sentAt - (2 * second) - 1}]},
	},
	{
		name: 'a request that is interrupted after SIGHUP of another gateway',
		changes: {...withPlain(cut), reloads: [{gateway: 'gateway-1', at: sentAt}]},
	},
	{
		name: 'a request that is interrupted after SIGHUP of its gateway and a crash of a server',
		changes: {
			...withPlain(cut), reloads: [{gateway: 'gateway-0', at: sentAt}], disruptions: [disrupt(targets.Server, 'plain-1', sentAt - second, sentAt)],
		},
	},
	{
		name: 'a request without a key on a route of every configuration',
		changes: withPlain({key: ''}, [{...plainExecution, account: undefined}]),
	},
	{
		name: 'a request without a key whose server was told an account',
		changes: withPlain({key: ''}),
		finding: 'an account that never held the key',
	},
	{
		name: 'a request that ends after a timeout that was replaced within the bound',
		changes: {
			...withPlain({deadlineMs: 9 * second, endedAt: sentAt + (3.4 * second)}),
			configs: [config, {
				...config, version: 2, sentAt: sentAt - second, acknowledgedAt: sentAt - second, timeoutsMs: {book: 2 * second, chat: second},
			}],
		},
	},
	{
		name: 'a request that ends long after a timeout that is in force',
		changes: {
			...withPlain({deadlineMs: 9 * second, timeoutMs: 2 * second, endedAt: sentAt + (2.6 * second)}),
			configs: [config, {
				...config, version: 2, sentAt: sentAt - (3 * second), acknowledgedAt: sentAt - (3 * second), timeoutsMs: {book: 2 * second, chat: second},
			}],
		},
		finding: 'complete 600 ms after the deadline',
	},
	{
		name: 'orders of two gateways with one fencing token',
		changes: {orders: [order, {...order, holder: 'gateway-1', at: 60 * second}]},
		finding: 'with the same fencing token',
	},
	{
		name: 'orders of two gateways within the bound',
		changes: {
			orders: [order, {
				...order, holder: 'gateway-1', fence: 5, at: 52 * second,
			}],
		},
		finding: 'accepted an order of gateway-1 2000 ms after one of gateway-0',
	},
	{
		name: 'an order with the same fencing token from a gateway that was resumed just before',
		changes: {
			orders: [order, {...order, holder: 'gateway-1', at: 60 * second}],
			disruptions: [disrupt(targets.Gateway, 'gateway-1', 55 * second, (60 * second) - 100)],
		},
	},
	{
		name: 'orders of two gateways after the bound',
		changes: {
			orders: [order, {
				...order, holder: 'gateway-1', fence: 5, at: 53 * second,
			}],
		},
	},
	{
		name: 'orders of two gateways within the bound, of which one was suspended just before',
		changes: {
			orders: [order, {
				...order, holder: 'gateway-1', fence: 5, at: 52 * second,
			}],
			disruptions: [disrupt(targets.Gateway, 'gateway-0', 47 * second, 49 * second)],
		},
	},
	{
		name: 'engines that hold a replaced version at the end', changes: {finalVersions: outdated}, findings: 2, finding: 'still holds version 1',
	},
	{
		name: 'one engine that holds a replaced version at the end', changes: {finalVersions: outdated.slice(1)},
	},
	{
		name: 'engines that hold a version that was replaced just before the end',
		changes: {finalVersions: outdated, versions: [{model: 'model-chat', version: 1, acknowledgedAt: 0}, {model: 'model-chat', version: 2, acknowledgedAt: 190 * second}], starts: []},
	},
	{
		name: 'a gateway that ends by itself',
		changes: {gatewayStarts: [{...gatewayStart, exitCode: 0}]},
		finding: 'gateway-0 ended with exit code 0 by itself',
	},
	{
		name: 'a gateway that is killed',
		changes: {
			gatewayStarts: [{...gatewayStart, exitCode: -1}],
			disruptions: [disrupt(targets.Gateway, 'gateway-0', (200 * second) - 5, 201 * second)],
		},
	},
	{
		name: 'a gateway that fails at a planned stop',
		changes: {
			gatewayStarts: [{...gatewayStart, exitCode: 1}],
			disruptions: [{...disrupt(targets.Gateway, 'gateway-0', 199 * second, 201 * second), isPlanned: true}],
		},
		finding: 'gateway-0 ended with exit code 1',
	},
	{
		name: 'a gateway that is not ready within the bound after its start',
		changes: {
			gatewayStarts: [{
				gateway: 'gateway-0', at: 0, readyAt: 13 * second, endedAt: 200 * second,
			}],
		},
		finding: 'was ready only 13000 ms after its start',
	},
	{
		name: 'a gateway that never is ready',
		changes: {gatewayStarts: [{gateway: 'gateway-0', at: 0, endedAt: 200 * second}]},
		finding: 'was not ready 200000 ms after its start',
	},
	{
		name: 'a gateway that starts while the store is down',
		changes: {
			gatewayStarts: [{
				gateway: 'gateway-0', at: 0, readyAt: 20 * second, endedAt: 200 * second,
			}],
			disruptions: [disrupt(targets.Store, '', 0, 15 * second)],
		},
	},
	{
		name: 'a gateway that is killed before it is ready',
		changes: {
			gatewayStarts: [{gateway: 'gateway-0', at: 0, endedAt: 14 * second}],
			disruptions: [disrupt(targets.Gateway, 'gateway-0', 14 * second, 15 * second)],
		},
	},
	{
		name: 'requests that are still refused when the recovery bound has passed',
		changes: {
			exchanges: Array.from({length: 60}, (_, index) => ({...plainExchange, ...refused, requestId: `q-${index}`})),
			executions: [],
			starts: [],
			disruptions: [disrupt(targets.Gateway, 'gateway-0', 80 * second, 85 * second)],
		},
		finding: 'only 0 of 60 requests were served after the last fault',
	},
	{name: 'as many requests of an account as its quota allows', changes: withQuota(31, 10)},
	{name: 'more requests of an account, over a longer time', changes: withQuota(60, 260)},
	{name: 'more requests of an account than its quota allows', changes: withQuota(32, 10), finding: 'account-1: 32 requests were executed in 8000 ms, 31 are allowed'},
];

describe('checkPlatform', () => {
	for (const {name, changes, finding, findings: count = 1} of cases) {
		it(`${finding === undefined ? 'accepts' : 'reports'} ${name}`, () => {
			const findings = platform.checkPlatform({...soundRecord, ...changes}).map(({text}) => text);
			if (finding === undefined) {
				expect(findings).to.deep.equal([]);
			} else {
				expect(findings).to.have.lengthOf(count);
				expect(findings[0]).to.contain(finding);
			}
		});
	}
});
