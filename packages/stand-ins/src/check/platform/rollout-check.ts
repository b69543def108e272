import * as calm from './calm.js';
import * as records from './platform-records.js';

const check = 'roll-outs';
/** Multiple of the version bound that has to pass in calm before weights must be current everywhere. */
const completionFactor = 1.5;
const maxOutdatedShare = 0.1;
/** Number of engines that may be outdated in any case. */
const maxOutdated = 1;

/** Checks that no two gateways order with one fencing token, and that gateways in touch do not take turns within the bound; returns the findings. */
export function checkOrders(record: records.PlatformRecord): records.Finding[] {
	const servers = new Set(record.orders.map(({server}) => server));
	return [...servers].flatMap(server => {
		const orders = record.orders.filter(order => order.server === server && !isJustResumed(record, order)).sort((a, b) => a.at - b.at);
		return orders.slice(1).flatMap((order, index) => findOrderProblem(record, orders[index]!, order));
	});
}

/** Returns whether the gateway of an order was suspended or its link to the store was disrupted until just before. */
function isJustResumed(record: records.PlatformRecord, order: records.AcceptedOrder): boolean {
	return record.disruptions.some(({name, from, to}) => name === order.holder && order.at >= from && order.at <= to + record.bounds.thawMs);
}

function findOrderProblem(record: records.PlatformRecord, former: records.AcceptedOrder, order: records.AcceptedOrder): records.Finding[] {
	if (former.holder === order.holder) {
		return [];
	}

	const text = `${order.server} accepted an order of ${order.holder} ${order.at - former.at} ms after one of ${former.holder}`;
	if (former.fence === order.fence) {
		return [{check, text: `${text} with the same fencing token`}];
	}

	const areInTouch = [former, order].every(({holder, at}) => calm.isInTouch(record, holder, at, at));
	return areInTouch && order.at - former.at < record.bounds.leaseMs ? [{check, text}] : [];
}

/** Checks that nearly all engines hold the newest version at the end of a run, where they had the time in calm; returns the findings. */
export function checkFinalVersions(record: records.PlatformRecord): records.Finding[] {
	const judged = record.finalVersions.filter(({server}) => {
		const newest = findNewest(record, server);
		const serverCalmFrom = Math.max(0, ...record.disruptions
			.filter(({target, name}) => target === records.DisruptionTarget.Server && name === server)
			.map(({to}) => to));
		const from = calm.findCalmStretchStart(record, Math.max(newest.acknowledgedAt, serverCalmFrom), record.endedAt);
		return record.endedAt - from > record.bounds.versionMs * completionFactor;
	});
	const outdated = judged.filter(({server, version}) => version < findNewest(record, server).version);
	return outdated.length > Math.max(maxOutdated, record.finalVersions.length * maxOutdatedShare)
		? outdated.map(({server, version}) => ({check, text: `${server} still holds version ${version} at the end`}))
		: [];
}

function findNewest(record: records.PlatformRecord, server: string): records.NamedVersion {
	return record.versions.findLast(({model}) => model === record.models[server])!;
}
