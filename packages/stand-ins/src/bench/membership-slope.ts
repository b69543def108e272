import process from 'node:process';
import {pathToFileURL} from 'node:url';
import * as memberFleet from './member-fleet.js';

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

const restMs = 20_000;
const limitMs = 120_000;
const seedsPerRouter = 3;

type Totals = {messages: number; sent: number; received: number; maxSent: number; stepMs: number; codecMs: number};

function measure(fleet: memberFleet.MemberFleet, durationMs: number): Totals {
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
	const fleet = new memberFleet.MemberFleet(seed);
	const names = Array.from({length: members}, (_, i) => `vm-${String(i).padStart(3, '0')}`);
	const seeds = names.slice(0, seedsPerRouter);
	for (const name of names) {
		fleet.add(name, seeds);
	}

	const joinMs = fleet.runUntil(() => fleet.agreed(), limitMs);
	fleet.run(restMs);
	const rest = measure(fleet, restMs);
	const links = fleet.running().reduce((sum, node) => sum + node.membership.neighbours().length, 0) / members;

	const victim = names.at(-1)!;
	fleet.kill(victim);
	const knowsDeath = (node: memberFleet.FleetNode): boolean => !node.membership.present().some(record => record.vm === victim);
	const firstNoticedMs = fleet.runUntil(() => fleet.running().some(node => knowsDeath(node)), limitMs);
	const spreadMs = fleet.runUntil(() => fleet.running().every(node => knowsDeath(node)), limitMs);

	const herd = names.slice(seedsPerRouter, seedsPerRouter + Math.max(1, Math.floor(members / 10)));
	for (const name of herd) {
		fleet.kill(name);
		fleet.restart(name, seeds);
	}

	const restart = measure(fleet, 10_000);
	const restartRestMs = fleet.runUntil(() => fleet.agreed(), limitMs);
	const perNodeSecond = (total: number, durationMs: number): number => Math.round(total / members / (durationMs / 1000));
	return {
		members,
		messagesPerSecond: Math.round((rest.messages / members / (restMs / 1000)) * 10) / 10,
		bytesSentPerSecond: perNodeSecond(rest.sent, restMs),
		bytesReceivedPerSecond: perNodeSecond(rest.received, restMs),
		maxBytesSentPerSecond: Math.round(rest.maxSent / (restMs / 1000)),
		restartBytesSentPerSecond: perNodeSecond(restart.sent, 10_000),
		stepMicrosPerSecond: perNodeSecond(rest.stepMs * 1000, restMs),
		codecMicrosPerSecond: perNodeSecond(rest.codecMs * 1000, restMs),
		links: Math.round(links * 10) / 10,
		joinMs,
		firstNoticedMs,
		deathNoticedMs: firstNoticedMs === undefined || spreadMs === undefined ? undefined : firstNoticedMs + spreadMs,
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
