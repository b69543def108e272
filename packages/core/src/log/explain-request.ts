import * as logEvent from './log-event.js';
import type * as logLine from './log-line.js';

/** State of a VM, as logged, when a request arrived there. */
export type VmStateAtArrival = {
	readonly vm: string;
	/** For each subject, such as the configuration, the last line before the first line of the request; ordered by time. */
	readonly lines: readonly logLine.LogLine[];
};

/** What the logs contain about a request. */
export type RequestExplanation = {
	readonly request: string;
	/** State of each VM that received the request. */
	readonly vmStates: readonly VmStateAtArrival[];
	/** The lines of the request and the state changes that could affect it while it was processed; ordered by time. */
	readonly lines: readonly logLine.LogLine[];
	/** Whether the final line of the request was found. */
	readonly isComplete: boolean;
	/** Number of lines that the VMs of the request dropped around the time of the request. */
	readonly droppedLines: number;
};

/** Events of state changes by the subject of the state; the last line of a subject is the current state. */
const subjectByEvent: ReadonlyMap<logEvent.LogEvent, string> = new Map([
	[logEvent.LogEvent.Started, 'process'],
	[logEvent.LogEvent.Stopping, 'process'],
	[logEvent.LogEvent.ReadinessChanged, 'readiness'],
	[logEvent.LogEvent.StoreLost, 'store'],
	[logEvent.LogEvent.StoreRegained, 'store'],
	[logEvent.LogEvent.StoreReturned, 'store era'],
	[logEvent.LogEvent.StoreReread, 'store era'],
	[logEvent.LogEvent.CacheStoreLost, 'cache store'],
	[logEvent.LogEvent.CacheStoreRegained, 'cache store'],
	[logEvent.LogEvent.ConfigAccepted, 'config'],
	[logEvent.LogEvent.ConfigUnreadable, 'config'],
	[logEvent.LogEvent.WeightTargetSeen, 'weight target'],
	[logEvent.LogEvent.WeightTargetDated, 'age of the weight target'],
	[logEvent.LogEvent.RolloutPlanSeen, 'plan'],
	[logEvent.LogEvent.VmsChanged, 'vms'],
	[logEvent.LogEvent.QuotaKeeperChanged, 'quota keeper'],
]);

/** Events of state changes of an endpoint by the aspect that changes: its listed state, whether it responds, asked for a pause, states a limit, is leaving, or interrupted requests. */
const endpointAspectByEvent: ReadonlyMap<logEvent.LogEvent, string> = new Map([
	[logEvent.LogEvent.EndpointChanged, 'listed'],
	[logEvent.LogEvent.EndpointRemoved, 'listed'],
	[logEvent.LogEvent.EndpointRelisted, 'listed'],
	[logEvent.LogEvent.EndpointDropped, 'listed'],
	[logEvent.LogEvent.EndpointHeld, 'listed'],
	[logEvent.LogEvent.EndpointUnresponsive, 'answers'],
	[logEvent.LogEvent.EndpointResponsive, 'answers'],
	[logEvent.LogEvent.PathInterrupted, 'path'],
	[logEvent.LogEvent.PathRestored, 'path'],
	[logEvent.LogEvent.EndpointPaused, 'pause'],
	[logEvent.LogEvent.EndpointPauseEnded, 'pause'],
	[logEvent.LogEvent.EndpointLimited, 'limit'],
	[logEvent.LogEvent.EndpointLimitEnded, 'limit'],
	[logEvent.LogEvent.EndpointLeaving, 'leaving'],
	[logEvent.LogEvent.EndpointInterrupted, 'interruption'],
]);

/**
 * Collects the lines that explain how a request was processed, from the logs of all VMs.
 *
 * @param lines - Lines in any order.
 */
export function explainRequest(lines: readonly logLine.LogLine[], request: string): RequestExplanation {
	const requestLines = lines.filter(line => line.fields.request === request);
	const endpoints = new Set(requestLines.map(line => line.fields.endpoint).filter(endpoint => endpoint !== undefined));
	const vms = [...new Set(requestLines.map(line => line.vm))];
	const spans = vms.map(vm => createSpan(vm, requestLines));
	const stateChanges = lines.filter(line => getSubject(line, endpoints) !== undefined
		&& spans.some(span => line.vm === span.vm && line.at > span.from && line.at <= span.to));
	return {
		request,
		vmStates: spans.map(span => ({vm: span.vm, lines: listStateLines(lines, span, endpoints)})),
		lines: sortByTime([...requestLines, ...stateChanges]),
		isComplete: requestLines.some(line => line.event === logEvent.LogEvent.RequestEnded),
		droppedLines: countDropped(lines, spans),
	};
}

/** Time span of a request at a VM, in milliseconds since the Unix epoch. */
type RequestSpan = {
	readonly vm: string;
	readonly from: number;
	readonly to: number;
};

function createSpan(vm: string, requestLines: readonly logLine.LogLine[]): RequestSpan {
	const times = requestLines.filter(line => line.vm === vm).map(line => line.at);
	return {vm, from: Math.min(...times), to: Math.max(...times)};
}

/** Returns the subject of a state change, or `undefined` when the line is not a state change that can affect the request. */
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
	const lastLineBySubject = new Map<string, logLine.LogLine>();
	for (const line of sortByTime(lines.filter(item => item.vm === span.vm && item.at <= span.from))) {
		const subject = getSubject(line, endpoints);
		if (subject !== undefined) {
			lastLineBySubject.set(subject, line);
		}
	}

	return sortByTime([...lastLineBySubject.values()]);
}

/** Dropped lines within this margin around a request may belong to it, since the line limit is counted by the second. */
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
