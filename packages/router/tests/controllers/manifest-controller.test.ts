import * as chai from 'chai';
import * as config from '@bluebellmast/config';
import * as wire from '@bluebellmast/wire';
import * as fc from 'fast-check';
import * as memoryKv from './fakes/memory-kv.js';
import * as memoryPeers from './fakes/memory-peers.js';
import * as router from '@bluebellmast/router';

const {expect} = chai;
const messageType = wire.peer.PeerMessageType;
const batch = 'model:lantaarn@2';
const content: config.manifest.ManifestContent = {
	models: [{
		id: 'lantaarn', service: 'pool', versions: ['2', '1'], defaultKind: 'question', supportsForcedPrefix: false,
	}],
	adapters: [],
	accounts: [],
	kinds: [],
	services: [],
	endpoints: [],
};

/** Routers with one key-value store and a clock that the test sets. */
class Fleet {
	readonly kv = new memoryKv.MemoryKv();
	readonly links = new memoryPeers.MemoryLinks();
	readonly vms: readonly string[];
	readonly clients: memoryKv.MemoryKvClient[] = [];
	readonly controllers: router.controllers.ManifestController[] = [];
	time = 1_000_000;

	constructor(size: number) {
		this.vms = Array.from({length: size}, (_, index) => `vm-${index}`);
		for (const vm of this.vms) {
			const client = new memoryKv.MemoryKvClient(this.kv);
			this.clients.push(client);
			this.controllers.push(new router.controllers.ManifestController({
				vm,
				kv: client,
				peers: this.links.create(vm),
				clock: {now: () => this.time},
				liveMembers: () => this.vms,
				listedVms: () => this.vms,
			}));
		}

		this.write(config.manifest.proposeApply(undefined, content, {changeId: 'first', madeFrom: 0}).unsafeCoerce());
	}

	/** Writes a change in the same order as the operators' tool: first the sections, then the head. */
	write({head, newSections}: config.manifest.ChangeProposal): void {
		for (const {hash, bytes} of newSections) {
			this.kv.put(config.manifest.sectionKey(hash), bytes);
		}

		this.kv.put(config.manifest.headKey, config.manifest.encodeHead(head));
	}

	recall(): void {
		const {value} = this.kv.entries.get(config.manifest.headKey)!;
		const head = config.manifest.decodeHead(value).unsafeCoerce();
		this.write(config.manifest.proposeRecall(head, [batch], `recall-${head.generation}`).unsafeCoerce());
	}

	/** Runs two ticks per second on each router, one router after the other. */
	async run(seconds: number): Promise<void> {
		for (let round = 0; round < seconds * 2; round += 1) {
			for (const controller of this.controllers) {
				this.time += 500 / this.controllers.length;
				await controller.tick(); // eslint-disable-line no-await-in-loop
			}
		}
	}

	generations(): number[] {
		return this.controllers.map(controller => controller.current()?.generation ?? 0);
	}

	confirmed(): boolean[] {
		return this.controllers.map(controller => controller.isConfirmed(this.time));
	}

	/** Returns the indices of the routers that watch the key-value store, or of those that do not. */
	indices(watching: boolean): number[] {
		return [...this.controllers.keys()].filter(index => this.controllers[index]!.isWatching === watching);
	}
}

const all = <Value>(size: number, value: Value) => Array.from({length: size}, () => value);

describe('ManifestController', () => {
	it('has three watchers, and all routers activate and confirm the manifest', async () => {
		const fleet = new Fleet(20);
		await fleet.run(3);
		expect(fleet.generations()).to.deep.equal(all(20, 1));
		expect(fleet.confirmed()).to.deep.equal(all(20, true));
		expect(fleet.kv.watches.size).to.equal(3);
	});

	it('reads the key-value service at a rate that is independent of the fleet size', async () => {
		const reads = [];
		for (const size of [20, 60]) {
			const fleet = new Fleet(size);
			await fleet.run(60); // eslint-disable-line no-await-in-loop
			const before = fleet.clients.reduce((sum, client) => sum + client.reads, 0);
			await fleet.run(60); // eslint-disable-line no-await-in-loop
			reads.push(fleet.clients.reduce((sum, client) => sum + client.reads, 0) - before);
		}

		expect(reads.every(count => count <= 60 * 8)).to.equal(true, reads.join(', '));
	});

	it('distributes a recall immediately, without a tick', async () => {
		const fleet = new Fleet(7);
		await fleet.run(3);
		fleet.recall();
		expect(fleet.generations()).to.deep.equal(all(7, 2));
		expect(fleet.controllers[0]!.current()?.recalled).to.deep.equal([batch]);
	});

	it('finds a change by polling when the watch events are lost', async () => {
		const fleet = new Fleet(7);
		await fleet.run(3);
		fleet.kv.dropsWatchEvents = true;
		fleet.recall();
		expect(fleet.generations()).to.deep.equal(all(7, 1));
		await fleet.run(1);
		expect(fleet.generations()).to.deep.equal(all(7, 2));
	});

	it('finds a change by probing when the message with the head is lost', async () => {
		const fleet = new Fleet(7);
		await fleet.run(3);
		fleet.links.shouldDrop = (_to, message) => message.type === messageType.ManifestHead;
		fleet.recall();
		expect(fleet.generations()).to.include(1);
		await fleet.run(1);
		expect(fleet.generations()).to.deep.equal(all(7, 2));
	});

	it('fetches sections from another source when the message with them is lost', async () => {
		const fleet = new Fleet(7);
		await fleet.run(3);
		fleet.links.shouldDrop = (_to, message) => message.type === messageType.SectionAnswer;
		const head = fleet.controllers[0]!.head();
		const changed = {...content, models: content.models.map(model => ({...model, versions: ['3']}))};
		fleet.write(config.manifest.proposeApply(head, changed, {changeId: 'second', madeFrom: 1}).unsafeCoerce());
		await fleet.run(2);
		expect(fleet.generations()).to.deep.equal(all(7, 2));
		expect(fleet.controllers[0]!.current()?.models[0]?.versions).to.deep.equal(['3']);
	});

	it('applies a recall immediately even if sections of an earlier change are missing', async () => {
		const fleet = new Fleet(7);
		await fleet.run(3);
		for (const client of fleet.clients) {
			client.failsSectionReads = true;
		}

		const changed = {...content, models: content.models.map(model => ({...model, versions: ['3', '2']}))};
		fleet.write(config.manifest.proposeApply(fleet.controllers[0]!.head(), changed, {changeId: 'second', madeFrom: 1}).unsafeCoerce());
		fleet.recall();
		await fleet.run(1);
		expect(fleet.generations()).to.deep.equal(all(7, 1));
		expect(fleet.controllers.map(controller => controller.current()?.recalled)).to.deep.equal(all(7, [batch]));
		await fleet.run(4);
		expect(fleet.confirmed()).to.deep.equal(all(7, false));
	});

	it('ignores an older head', async () => {
		const fleet = new Fleet(2);
		await fleet.run(2);
		const older = fleet.controllers[0]!.head()!;
		fleet.recall();
		const message: wire.peer.ManifestHeadMessage = {type: messageType.ManifestHead, head: older};
		fleet.links.networks.get('vm-1')!.receive('vm-0', message);
		expect(fleet.generations()).to.deep.equal([2, 2]);
	});

	type Outage = {readonly name: string; readonly isConfirmed: boolean; readonly areOthersConfirmed: boolean; cut(fleet: Fleet, index: number): void};
	const outages: readonly Outage[] = [
		{
			name: 'the key-value service unavailable to one router', isConfirmed: true, areOthersConfirmed: true,
			cut(fleet, index) {
				fleet.clients[index]!.down = true;
			},
		},
		{
			name: 'the key-value service unavailable to all routers', isConfirmed: true, areOthersConfirmed: true,
			cut(fleet) {
				for (const client of fleet.clients) {
					client.down = true;
				}
			},
		},
		{
			name: 'one router disconnected from its peers', isConfirmed: true, areOthersConfirmed: true,
			cut(fleet, index) {
				fleet.links.disconnected.add(fleet.vms[index]!);
			},
		},
		{
			name: 'one router without the key-value service and its peers', isConfirmed: false, areOthersConfirmed: true,
			cut(fleet, index) {
				fleet.clients[index]!.down = true;
				fleet.links.disconnected.add(fleet.vms[index]!);
			},
		},
		{
			name: 'the key-value service unavailable to all routers and one router disconnected from its peers', isConfirmed: false, areOthersConfirmed: true,
			cut(fleet, index) {
				for (const client of fleet.clients) {
					client.down = true;
				}

				fleet.links.disconnected.add(fleet.vms[index]!);
			},
		},
	];
	for (const {name, cut, isConfirmed, areOthersConfirmed} of outages) {
		for (const watching of [true, false]) {
			it(`decides whether the manifest is confirmed with ${name}, where that router is ${watching ? 'a watcher' : 'not a watcher'}`, async () => {
				const fleet = new Fleet(7);
				await fleet.run(3);
				const [index] = fleet.indices(watching);
				cut(fleet, index!);
				await fleet.run(8);
				const confirmed = fleet.confirmed();
				expect(confirmed[index!]).to.equal(isConfirmed);
				expect(confirmed.filter((_, other) => other !== index)).to.deep.equal(all(6, areOthersConfirmed));
			});
		}
	}

	it('confirms again after a disconnection, with the recall that it missed', async () => {
		const fleet = new Fleet(7);
		await fleet.run(3);
		fleet.clients[6]!.down = true;
		fleet.links.disconnected.add('vm-6');
		fleet.recall();
		await fleet.run(8);
		expect(fleet.confirmed()[6]).to.equal(false);
		fleet.clients[6]!.down = false;
		fleet.links.disconnected.delete('vm-6');
		await fleet.run(2);
		expect(fleet.confirmed()[6]).to.equal(true);
		expect(fleet.generations()).to.deep.equal(all(7, 2));
	});

	it('confirms by majority on a single router', async () => {
		const fleet = new Fleet(1);
		await fleet.run(1);
		fleet.clients[0]!.down = true;
		await fleet.run(10);
		expect(fleet.confirmed()).to.deep.equal([true]);
	});

	it('does not confirm a generation with recalled weights 4 s after the recall, whichever routers are disconnected', async () => {
		const size = 5;
		const step = fc.oneof(
			fc.record({type: fc.constantFrom('kv', 'links'), index: fc.nat(size - 1)}),
			fc.record({type: fc.constantFrom('recall', 'run', 'notices'), index: fc.nat(3)}),
		);
		let confirmed = 0;
		let unconfirmed = 0;
		await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 10, maxLength: 60}), async steps => {
			const fleet = new Fleet(size);
			const recalls: Array<{at: number; generation: number}> = [];
			const isConnected = (index: number) => !fleet.clients[index]!.down && !fleet.links.disconnected.has(fleet.vms[index]!);
			await fleet.run(2);
			for (const {type, index} of steps) {
				if (type === 'kv') {
					fleet.clients[index]!.down = !fleet.clients[index]!.down;
				} else if (type === 'links' && !fleet.links.disconnected.delete(fleet.vms[index]!)) {
					fleet.links.disconnected.add(fleet.vms[index]!);
				} else if (type === 'notices') {
					fleet.kv.dropsWatchEvents = !fleet.kv.dropsWatchEvents;
				} else if (type === 'recall') {
					fleet.recall();
					recalls.push({at: fleet.time, generation: recalls.length + 2});
				}

				// A majority without links to any router that reaches the key-value service can't tell this from a complete outage.
				if (![...fleet.vms.keys()].some(other => isConnected(other))) {
					fleet.clients[index % size]!.down = false;
					fleet.links.disconnected.delete(fleet.vms[index % size]!);
				}

				await fleet.run(1); // eslint-disable-line no-await-in-loop
				const due = recalls.findLast(recall => recall.at <= fleet.time - 4000)?.generation ?? 1;
				for (const controller of fleet.controllers) {
					const confirms = controller.isConfirmed(fleet.time);
					confirmed += Number(confirms);
					unconfirmed += Number(!confirms);
					expect(!confirms || controller.current()!.generation >= due).to.equal(true, `${controller.current()?.generation} of ${due}`);
				}
			}
		}), {numRuns: 100, seed: 5});
		expect(confirmed).to.be.greaterThan(unconfirmed);
		expect(unconfirmed).to.be.greaterThan(100);
	});
});
