import process from 'node:process';
import {pathToFileURL} from 'node:url';
import * as membershipSimulation from './membership-simulation.js';

/** Figures of one fleet size, per router. Bytes are frames, without TCP and IP headers. */
export type MembershipFigures = {
	readonly members: number;
	readonly messagesPerSecond: number;
	readonly bytesSentPerSecond: number;
	readonly bytesReceivedPerSecond: number;
	/** Largest over the routers. */
	readonly maxBytesSentPerSecond: number;
	/** While a tenth of the fleet restarts at once, over 10 s. */
	readonly restartBytesSentPerSecond: number;
	readonly stepMicrosPerSecond: number;
	readonly codecMicrosPerSecond: number;
	readonly links: number;
	/** Milliseconds until all running routers agree, from a start of all at once. */
	readonly joinMs: number | undefined;
	/** Milliseconds until all running routers have judged a dead one. */
	readonly deathNoticedMs: number | undefined;
	/** The same until the first has. */
	readonly firstNoticedMs: number | undefined;
	/** Milliseconds until all agree after a tenth of the fleet has restarted at once. */
	readonly restartAgreedMs: number | undefined;
};

const idleMs = 20_000;
const limitMs = 120_000;
const seedsPerRouter = 3;

type Totals = {messages: number; sent: number; received: number; maxSent: number; stepMs: number; codecMs: number};

function measureTraffic(fleet: membershipSimulation.MembershipSimulation, durationMs: number): Totals {
	const before = fleet.running().map(node => ({...node}));
	const {stepMs, codecMs} = fleet;
	fleet.run(durationMs);
	const after = new Map(fleet.running().map(node => [node.vm, node]));
	const totals: Totals = {
		messages: 0, sent: 0, received: 0, maxSent: 0, stepMs: fleet.stepMs - stepMs, codecMs: fleet.codecMs - codecMs,
	};
	for (const old of before) {
		const node = after.get(old.vm)!;
		const sent = node.bytesSent - old.bytesSent;
		totals.messages += node.messagesSent - old.messagesSent;
		totals.sent += sent;
		totals.received += node.bytesReceived - old.bytesReceived;
		totals.maxSent = Math.max(totals.maxSent, sent);
	}

	return totals;
}

/** Measures the membership of a fleet of one size. */
export function measureMembership(members: number, seed: number): MembershipFigures {
	const fleet = new membershipSimulation.MembershipSimulation(seed);
	const names = Array.from({length: members}, (_, i) => `vm-${String(i).padStart(3, '0')}`);
	const seeds = names.slice(0, seedsPerRouter);
	for (const name of names) {
		fleet.add(name, seeds);
	}

	const joinMs = fleet.runUntil(() => fleet.isConverged(), limitMs);
	fleet.run(idleMs);
	const idle = measureTraffic(fleet, idleMs);
	const links = fleet.running().reduce((sum, node) => sum + node.membership.neighbours().length, 0) / members;

	const victim = names.at(-1)!;
	fleet.kill(victim);
	const hasRemovedVictim = (node: membershipSimulation.SimulatedRouter): boolean => !node.membership.present().some(record => record.vm === victim);
	const firstNoticedMs = fleet.runUntil(() => fleet.running().some(node => hasRemovedVictim(node)), limitMs);
	const allNoticedAfterFirstMs = fleet.runUntil(() => fleet.running().every(node => hasRemovedVictim(node)), limitMs);

	const restartedNames = names.slice(seedsPerRouter, seedsPerRouter + Math.max(1, Math.floor(members / 10)));
	for (const name of restartedNames) {
		fleet.kill(name);
		fleet.restart(name, seeds);
	}

	const restart = measureTraffic(fleet, 10_000);
	const restartRestMs = fleet.runUntil(() => fleet.isConverged(), limitMs);
	const perNodeSecond = (total: number, durationMs: number): number => Math.round(total / members / (durationMs / 1000));
	return {
		members,
		messagesPerSecond: Math.round((idle.messages / members / (idleMs / 1000)) * 10) / 10,
		bytesSentPerSecond: perNodeSecond(idle.sent, idleMs),
		bytesReceivedPerSecond: perNodeSecond(idle.received, idleMs),
		maxBytesSentPerSecond: Math.round(idle.maxSent / (idleMs / 1000)),
		restartBytesSentPerSecond: perNodeSecond(restart.sent, 10_000),
		stepMicrosPerSecond: perNodeSecond(idle.stepMs * 1000, idleMs),
		codecMicrosPerSecond: perNodeSecond(idle.codecMs * 1000, idleMs),
		links: Math.round(links * 10) / 10,
		joinMs,
		firstNoticedMs,
		deathNoticedMs: firstNoticedMs === undefined || allNoticedAfterFirstMs === undefined ? undefined : firstNoticedMs + allNoticedAfterFirstMs,
		restartAgreedMs: restartRestMs === undefined ? undefined : restartRestMs + 10_000,
	};
}

/** Measures the membership at several sizes and prints the figures as JSON. */
export function printMembershipSlope(sizes: readonly number[], seed: number): void {
	for (const members of sizes) {
		console.log(JSON.stringify(measureMembership(members, seed)));
	}
}

if (process.argv[1] !== undefined && import.meta.url === pathToFileURL(process.argv[1]).href) {
	printMembershipSlope([7, 20, 60, 420], 1);
}
