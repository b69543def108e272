import * as logEvent from './log-event.js';
import type * as logLine from './log-line.js';

/** What a VM believed when a request arrived there. */
export type VmStateAtArrival = {
	readonly vm: string;
	/** Last line of each kind of belief before the request's first line, in order of time. */
	readonly lines: readonly logLine.LogLine[];
};

/** What the logs tell of one request. */
export type RequestExplanation = {
	readonly request: string;
	/** Beliefs of each VM that the request came to. */
	readonly vmStates: readonly VmStateAtArrival[];
	/** The request's own lines and changes of belief meanwhile that concern it, in order of time. */
	readonly lines: readonly logLine.LogLine[];
	/** Whether the request's final line is there. */
	readonly isComplete: boolean;
	/** Lines that the VMs of the request dropped around it. */
	readonly droppedLines: number;
};

/** Beliefs that replace one another: the last line of a subject holds. */
const subjectByEvent: ReadonlyMap<logEvent.LogEvent, string> = new Map([
	[logEvent.LogEvent.Started, 'process'],
	[logEvent.LogEvent.Stopping, 'process'],
	[logEvent.LogEvent.ReadinessChanged, 'readiness'],
	[logEvent.LogEvent.StoreLost, 'store'],
	[logEvent.LogEvent.StoreRegained, 'store'],
	[logEvent.LogEvent.CacheStoreLost, 'cache store'],
	[logEvent.LogEvent.CacheStoreRegained, 'cache store'],
	[logEvent.LogEvent.ConfigAccepted, 'config'],
	[logEvent.LogEvent.WeightTargetSeen, 'weight target'],
	[logEvent.LogEvent.RolloutPlanSeen, 'plan'],
	[logEvent.LogEvent.VmsChanged, 'vms'],
]);

/** Beliefs about one endpoint: its state in the list, and whether it answers. */
const endpointAspectByEvent: ReadonlyMap<logEvent.LogEvent, string> = new Map([
	[logEvent.LogEvent.EndpointChanged, 'listed'],
	[logEvent.LogEvent.EndpointRemoved, 'listed'],
	[logEvent.LogEvent.EndpointUnresponsive, 'answers'],
	[logEvent.LogEvent.EndpointResponsive, 'answers'],
]);

/**
 * Tells the story of a request from the logs of all VMs.
 *
 * @param lines - Lines in any order.
 */
export function explainRequest(lines: readonly logLine.LogLine[], request: string): RequestExplanation {
	const own = lines.filter(line => line.fields.request === request);
	const endpoints = new Set(own.map(line => line.fields.endpoint).filter(endpoint => endpoint !== undefined));
	const vms = [...new Set(own.map(line => line.vm))];
	const spans = vms.map(vm => createSpan(vm, own));
	const meanwhile = lines.filter(line => getSubject(line, endpoints) !== undefined
		&& spans.some(span => line.vm === span.vm && line.at > span.from && line.at <= span.to));
	return {
		request,
		vmStates: spans.map(span => ({vm: span.vm, lines: listStateLines(lines, span, endpoints)})),
		lines: sortByTime([...own, ...meanwhile]),
		isComplete: own.some(line => line.event === logEvent.LogEvent.RequestEnded),
		droppedLines: countDropped(lines, spans),
	};
}

/** Time that a request spent at one VM, in Unix milliseconds. */
type RequestSpan = {
	readonly vm: string;
	readonly from: number;
	readonly to: number;
};

function createSpan(vm: string, own: readonly logLine.LogLine[]): RequestSpan {
	const times = own.filter(line => line.vm === vm).map(line => line.at);
	return {vm, from: Math.min(...times), to: Math.max(...times)};
}

/** Names what a line is about, if it can bear on the request. */
function getSubject(line: logLine.LogLine, endpoints: ReadonlySet<logLine.LogValue>): string | undefined {
	const aspect = endpointAspectByEvent.get(line.event);
	const {endpoint} = line.fields;
	if (aspect !== undefined) {
		return endpoint !== undefined && endpoints.has(endpoint) ? `${endpoint} ${aspect}` : undefined;
	}

	return subjectByEvent.get(line.event);
}

function listStateLines(
	lines: readonly logLine.LogLine[],
	span: RequestSpan,
	endpoints: ReadonlySet<logLine.LogValue>,
): logLine.LogLine[] {
	const last = new Map<string, logLine.LogLine>();
	for (const line of sortByTime(lines.filter(item => item.vm === span.vm && item.at <= span.from))) {
		const subject = getSubject(line, endpoints);
		if (subject !== undefined) {
			last.set(subject, line);
		}
	}

	return sortByTime([...last.values()]);
}

/** Margin around a request within which dropped lines may be its own, in milliseconds: the bound counts by the second. */
const droppedMarginMs = 1000;

function countDropped(lines: readonly logLine.LogLine[], spans: readonly RequestSpan[]): number {
	let count = 0;
	for (const line of lines) {
		const isNear = spans.some(span =>
			line.vm === span.vm && line.at >= span.from - droppedMarginMs && line.at <= span.to + droppedMarginMs);
		count += line.event === logEvent.LogEvent.LinesDropped && isNear ? Number(line.fields.lines) : 0;
	}

	return count;
}

function sortByTime(lines: readonly logLine.LogLine[]): logLine.LogLine[] {
	return [...lines].sort((a, b) => a.at - b.at);
}
