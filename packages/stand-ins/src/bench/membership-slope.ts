import process from 'node:process';
import {pathToFileURL} from 'node:url';
import * as membershipSimulation from './membership-simulation.js';

/** Cost and convergence times of membership for one fleet size, per router. Bytes are frames, without TCP and IP headers. */
export type MembershipFigures = {
	readonly members: number;
	readonly messagesPerSecond: number;
	readonly bytesSentPerSecond: number;
	readonly bytesReceivedPerSecond: number;
	/** Maximum over all routers. */
	readonly maxBytesSentPerSecond: number;
	/** Mean over the 10 s after a tenth of the fleet restarts at once. */
	readonly restartBytesSentPerSecond: number;
	readonly stepMicrosPerSecond: number;
	readonly codecMicrosPerSecond: number;
	readonly links: number;
	/** Milliseconds from the start of all routers at once until all agree. */
	readonly joinMs: number | undefined;
	/** Milliseconds until all running routers have removed a killed one. */
	readonly deathNoticedMs: number | undefined;
	/** Milliseconds until the first running router has removed it. */
	readonly firstNoticedMs: number | undefined;
	/** Milliseconds until all agree after a tenth of the fleet has restarted at once. */
	readonly restartAgreedMs: number | undefined;
};

const idleMs = 20_000;
const limitMs = 120_000;
const seedRouterCount = 3;

type TrafficTotals = {messages: number; sent: number; received: number; maxSent: number; stepMs: number; codecMs: number};

function measureTraffic(simulation: membershipSimulation.MembershipSimulation, durationMs: number): TrafficTotals {
	const before = simulation.listRunning().map(router => ({...router}));
	const {stepMs, codecMs} = simulation;
	simulation.run(durationMs);
	const after = new Map(simulation.listRunning().map(router => [router.vm, router]));
	const totals: TrafficTotals = {
		messages: 0, sent: 0, received: 0, maxSent: 0, stepMs: simulation.stepMs - stepMs, codecMs: simulation.codecMs - codecMs,
	};
	for (const old of before) {
		const router = after.get(old.vm)!;
		const sent = router.bytesSent - old.bytesSent;
		totals.messages += router.messagesSent - old.messagesSent;
		totals.sent += sent;
		totals.received += router.bytesReceived - old.bytesReceived;
		totals.maxSent = Math.max(totals.maxSent, sent);
	}

	return totals;
}

/** Simulates a fleet of one size and measures its membership. */
export function measureMembership(members: number, seed: number): MembershipFigures {
	const simulation = new membershipSimulation.MembershipSimulation(seed);
	const names = Array.from({length: members}, (_, i) => `vm-${String(i).padStart(3, '0')}`);
	const seedRouters = names.slice(0, seedRouterCount);
	for (const name of names) {
		simulation.add(name, seedRouters);
	}

	const joinMs = simulation.runUntil(() => simulation.isConverged(), limitMs);
	simulation.run(idleMs);
	const idle = measureTraffic(simulation, idleMs);
	const links = simulation.listRunning().reduce((sum, router) => sum + router.membership.neighbours().length, 0) / members;

	const victim = names.at(-1)!;
	simulation.kill(victim);
	const hasRemovedVictim = (router: membershipSimulation.SimulatedRouter): boolean => !router.membership.present().some(record => record.vm === victim);
	const firstNoticedMs = simulation.runUntil(() => simulation.listRunning().some(router => hasRemovedVictim(router)), limitMs);
	const allNoticedAfterFirstMs = simulation.runUntil(() => simulation.listRunning().every(router => hasRemovedVictim(router)), limitMs);

	const restartedNames = names.slice(seedRouterCount, seedRouterCount + Math.max(1, Math.floor(members / 10)));
	for (const name of restartedNames) {
		simulation.kill(name);
		simulation.restart(name, seedRouters);
	}

	const restart = measureTraffic(simulation, 10_000);
	const convergedAfterRestartMs = simulation.runUntil(() => simulation.isConverged(), limitMs);
	const perRouterSecond = (total: number, durationMs: number): number => Math.round(total / members / (durationMs / 1000));
	return {
		members,
		messagesPerSecond: Math.round((idle.messages / members / (idleMs / 1000)) * 10) / 10,
		bytesSentPerSecond: perRouterSecond(idle.sent, idleMs),
		bytesReceivedPerSecond: perRouterSecond(idle.received, idleMs),
		maxBytesSentPerSecond: Math.round(idle.maxSent / (idleMs / 1000)),
		restartBytesSentPerSecond: perRouterSecond(restart.sent, 10_000),
		stepMicrosPerSecond: perRouterSecond(idle.stepMs * 1000, idleMs),
		codecMicrosPerSecond: perRouterSecond(idle.codecMs * 1000, idleMs),
		links: Math.round(links * 10) / 10,
		joinMs,
		firstNoticedMs,
		deathNoticedMs: firstNoticedMs === undefined || allNoticedAfterFirstMs === undefined ? undefined : firstNoticedMs + allNoticedAfterFirstMs,
		restartAgreedMs: convergedAfterRestartMs === undefined ? undefined : convergedAfterRestartMs + 10_000,
	};
}

/** Measures membership for several fleet sizes and prints one line of JSON for each. */
export function printMembershipSlope(sizes: readonly number[], seed: number): void {
	for (const members of sizes) {
		console.log(JSON.stringify(measureMembership(members, seed)));
	}
}

if (process.argv[1] !== undefined && import.meta.url === pathToFileURL(process.argv[1]).href) {
	printMembershipSlope([7, 20, 60, 420], 1);
}
