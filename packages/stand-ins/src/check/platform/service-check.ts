import * as calm from './calm.js';
import * as records from './platform-records.js';

/** Milliseconds after a disruption within which the end of a process counts as part of it. */
const ownEndMarginMs = 1000;
/** Milliseconds after SIGTERM from which a gateway must not respond that it is ready, so that two questions in a row take it out within 4 s. */
const maxReadyAfterStopMs = 2000;
/** Share of requests that have to be served once all faults are over. */
const minServedShare = 0.95;
/** Number of requests from which the share is judged. */
const minRequests = 50;

/** Checks that gateways become ready within the recovery bound after a start, while the store and links are calm; returns the findings. */
export function checkReadiness(record: records.PlatformRecord): records.Finding[] {
	return record.gatewayStarts
		.filter(start => !isInterrupted(record, start))
		.filter(start => {
			const endedAt = start.readyAt ?? start.endedAt;
			return endedAt - calm.findCalmStretchStart(record, start.at, endedAt) > record.bounds.recoveryMs;
		})
		.map(start => ({
			check: 'readiness',
			text: start.readyAt === undefined
				? `${start.gateway} was not ready ${start.endedAt - start.at} ms after its start`
				: `${start.gateway} was ready only ${start.readyAt - start.at} ms after its start`,
		}));
}

/** Checks that gateways do not respond that they are ready some time after their SIGTERM; returns the findings. */
export function checkReadinessAfterStops(record: records.PlatformRecord): records.Finding[] {
	return record.plannedStops.flatMap(({gateway, at}) => {
		const life = record.gatewayStarts.find(start => start.gateway === gateway && start.at <= at && start.endedAt >= at);
		const readyForMs = (life?.lastReadyAt ?? at) - at;
		return readyForMs > maxReadyAfterStopMs
			? [{check: 'readiness after stops', text: `${gateway} responded that it is ready ${readyForMs} ms after SIGTERM`}]
			: [];
	});
}

/** Checks that no gateway process ends by itself or fails at a planned stop; returns the findings. */
export function checkProcesses(record: records.PlatformRecord): records.Finding[] {
	return record.gatewayStarts.flatMap(({gateway, endedAt, exitCode}) => {
		const isDisrupted = record.disruptions.some(({target, name, from, to}) => target === records.DisruptionTarget.Gateway
			&& name === gateway && endedAt >= from && endedAt <= to + ownEndMarginMs);
		const hasFailed = exitCode !== undefined && (exitCode > 0 || !isDisrupted);
		return hasFailed ? [{check: 'processes', text: `${gateway} ended with exit code ${exitCode}${isDisrupted ? '' : ' by itself'}`}] : [];
	});
}

/** Returns whether a process was disrupted again, or blocked, before it was ready. */
function isInterrupted(record: records.PlatformRecord, start: records.GatewayStart): boolean {
	const disrupted = record.disruptions.filter(({target, name}) => target === records.DisruptionTarget.Gateway && name === start.gateway);
	const blocked = (record.blocks ?? []).filter(({gateway}) => gateway === start.gateway);
	return [...disrupted, ...blocked].some(({from}) => from > start.at && from <= (start.readyAt ?? start.endedAt));
}

/** Checks that requests which every configuration allows are served again when the recovery bound after the last fault has passed; returns the findings. */
export function checkRecovery(record: records.PlatformRecord): records.Finding[] {
	const recoveredAt = Math.max(0, ...[...record.disruptions, ...record.silences ?? [], ...record.blocks ?? []].map(({to}) => to)) + record.bounds.recoveryMs;
	const owed = record.exchanges.filter(exchange => exchange.sentAt > recoveredAt && exchange.end !== records.ExchangeEnd.GaveUp
		&& record.configs.every(config => config.routes.includes(exchange.route) && (exchange.key === '' || exchange.key in config.accounts)));
	const served = owed.filter(({end, status}) => end === records.ExchangeEnd.Complete && status === 200);
	return owed.length >= minRequests && served.length < owed.length * minServedShare
		? [{check: 'recovery', text: `only ${served.length} of ${owed.length} requests were served after the last fault`}]
		: [];
}
