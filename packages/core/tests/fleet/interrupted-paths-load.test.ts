import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const {ConnectOutcome: outcomes} = core.fleet;
const pool = 'p';
const randomSteps = 1_000_000;
const cutAt = 10_000;
const stepMs = 10;
/** Digests go to some VMs at a time, in turn. */
const digestIntervalMs = 200;
const peersPerDigest = 6;
const requestIntervalMs = 37;
const responseMs = 20;
const dueMs = 100;
const connectTimeoutMs = 250;
const runMs = 3000;
/** Digests that the observed VM receives in that time. */
const heardVms = runMs / digestIntervalMs * peersPerDigest;
/** The goal of issue 47, from the cut on. */
const noticeMs = 1000;

type Scenario = {
	readonly vms: number;
	/** Number of VMs that are cut off, the observed one among them. */
	readonly cutVms: number;
};

type Peer = {
	readonly vm: string;
	readonly isCut: boolean;
	/** When its next digest arrives at the observed VM. */
	digestAt: number;
};

/** One VM of a fleet that loses its paths to all endpoints, and the digests that it receives, in virtual time. */
class ObservedVm {
	readonly peerReach = new core.fleet.PeerReach();
	readonly paths = new core.fleet.EndpointPaths();
	readonly #random: () => number;
	readonly #ends: core.fleet.PathEnd[];
	readonly #peers: Peer[];
	readonly #digestPeriodMs: number;
	readonly #checks: Array<{readonly end: core.fleet.PathEnd; readonly endsAt: number}> = [];
	readonly #responses: Array<{readonly end: core.fleet.PathEnd; readonly id: string; readonly at: number}> = [];
	#requestCount = 0;

	constructor({vms, cutVms}: Scenario, seed: number) {
		const random = new core.util.SeededRandom(seed);
		this.#random = () => random.int(randomSteps) / randomSteps;
		this.#ends = Array.from({length: Math.max(3, Math.round(vms / 3))}, (_, index) => ({id: `e-${index}`, pool}));
		this.#digestPeriodMs = Math.ceil((vms - 1) / peersPerDigest) * digestIntervalMs;
		this.#peers = Array.from({length: vms - 1}, (_, index) => ({
			vm: `vm-${index}`, isCut: index < cutVms - 1, digestAt: this.#random() * this.#digestPeriodMs,
		}));
		this.peerReach.retain(new Set(this.#peers.map(({vm}) => vm)));
	}

	/** Runs until a time. @returns When each path was found to be interrupted. */
	run(untilMs: number): Map<string, number> {
		const noticed = new Map<string, number>();
		let requestAt = 0;
		for (let now = 0; now < untilMs; now += stepMs) {
			this.#receiveDigests(now);
			this.#receiveResponses(now);
			for (; requestAt <= now; requestAt += requestIntervalMs) {
				this.#send(now);
			}

			for (const id of this.paths.startDueChecks(this.#ends, now)) {
				this.#checks.push({end: {id, pool}, endsAt: now + (now < cutAt ? 1 : connectTimeoutMs)});
			}

			for (const end of this.#endChecks(now)) {
				noticed.set(end.id, now);
			}
		}

		return noticed;
	}

	/** Finds a VM through which an endpoint is reached. */
	findHelper(end: core.fleet.PathEnd, now: number): Peer | undefined {
		const chosen = this.peerReach.choose({
			pool, dataCentre: 'dc', receivers: new Set(), silentSince: this.paths.silentSince(end.id, now) ?? now,
		}, this.#random, now);
		return this.#peers.find(({vm}) => vm === chosen?.vm);
	}

	#receiveDigests(now: number): void {
		for (const peer of this.#peers.filter(({digestAt}) => digestAt <= now)) {
			const ageMs = (peer.isCut ? Math.max(0, now - cutAt) : 0) + (this.#random() * requestIntervalMs);
			this.peerReach.applyDigest(peer.vm, {tunnelAddress: '10.0.0.1:7', dataCentre: 'dc', pools: [{pool, ageMs}]}, now);
			peer.digestAt += this.#digestPeriodMs;
		}
	}

	#receiveResponses(now: number): void {
		while (this.#responses[0] !== undefined && this.#responses[0].at <= now) {
			const {end, id} = this.#responses.shift()!;
			this.paths.recordReceived(end, id, now);
			this.paths.recordEnd(end, id);
		}
	}

	#send(now: number): void {
		const end = this.#ends[this.#requestCount % this.#ends.length]!;
		const id = `r-${this.#requestCount}`;
		this.#requestCount += 1;
		this.paths.recordSent(end, id, now + dueMs);
		if (now + responseMs < cutAt) {
			this.#responses.push({end, id, at: now + responseMs});
		}
	}

	/** Ends the checks that are due, and asks other VMs where they failed. @returns The ends of paths that are newly interrupted. */
	#endChecks(now: number): core.fleet.PathEnd[] {
		for (const {end} of this.#checks.filter(({endsAt}) => endsAt <= now)) {
			this.paths.recordCheck(end, now < cutAt ? outcomes.Open : outcomes.TimedOut, now);
		}

		this.#checks.splice(0, this.#checks.length, ...this.#checks.filter(({endsAt}) => endsAt > now));
		return this.paths.listUnconfirmed(this.#ends, now).map(id => ({id, pool})).filter(end => {
			const helper = this.findHelper(end, now);
			if (helper !== undefined) {
				this.paths.startConfirmation(end.id, now);
			}

			return helper?.isCut === false && this.paths.recordConfirmation(end.id, now);
		});
	}
}

const sizes = [7, 66, 195, 420];
const shares = [{name: 'one VM', share: 0}, {name: 'a third', share: 1 / 3}, {name: 'half', share: 0.5}, {name: 'nine tenths', share: 0.9}];

// Guards against callers who wait for endpoints that their VM does not reach any more, at any size of the fleet.
describe('a VM that loses its paths to all endpoints', () => {
	for (const vms of sizes) {
		for (const {name, share} of shares) {
			const cutVms = Math.max(1, Math.floor(vms * share));
			it(`finds a way through other VMs within a second, where ${name} of ${vms} VMs are cut off`, () => {
				const vm = new ObservedVm({vms, cutVms}, vms);
				const noticed = vm.run(cutAt + runMs);
				const lateCount = [...noticed.values()].filter(at => at > cutAt + noticeMs).length;
				expect(noticed.size).to.equal(Math.max(3, Math.round(vms / 3)));
				expect(Math.min(...noticed.values())).to.be.above(cutAt);
				expect(lateCount / noticed.size).to.be.at.most(0.02);
			});

			it(`spreads its connections evenly over those that it knows to reach them, where ${name} of ${vms} VMs are cut off`, () => {
				const vm = new ObservedVm({vms, cutVms}, vms);
				const noticed = vm.run(cutAt + runMs);
				const counts = new Map<string, number>();
				const knownVms = Math.min(vms - cutVms, heardVms * (vms - cutVms) / vms);
				for (let count = 0; count < 100 * knownVms; count++) {
					const helper = vm.findHelper({id: [...noticed.keys()][count % noticed.size]!, pool}, cutAt + runMs);
					expect(helper?.isCut).to.equal(false);
					counts.set(helper!.vm, (counts.get(helper!.vm) ?? 0) + 1);
				}

				expect(counts.size).to.be.at.least(knownVms / 2);
				const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
				expect(Math.max(...counts.values())).to.be.at.most(2 * total / counts.size);
			});
		}
	}
});
