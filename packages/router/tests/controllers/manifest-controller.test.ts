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

/** Routers over one key-value service, with a clock that the test moves. */
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

	/** Writes a change as the operators' tool does. */
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

	/** Lets each router tick twice a second, one after the other. */
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

	/** Indices of the routers that watch, or that do not. */
	indices(watching: boolean): number[] {
		return [...this.controllers.keys()].filter(index => this.controllers[index]!.isWatching === watching);
	}
}

const all = <Value>(size: number, value: Value) => Array.from({length: size}, () => value);

describe('ManifestController', () => {
	it('has at most three watchers, and all routers take and confirm the manifest', async () => {
		const fleet = new Fleet(20);
		await fleet.run(3);
		expect(fleet.generations()).to.deep.equal(all(20, 1));
		expect(fleet.confirmed()).to.deep.equal(all(20, true));
		expect(fleet.kv.watches.size).to.equal(3);
	});

	it('reads the key-value service at a rate that does not grow with the fleet', async () => {
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

	it('spreads a recall at once, without a tick', async () => {
		const fleet = new Fleet(7);
		await fleet.run(3);
		fleet.recall();
		expect(fleet.generations()).to.deep.equal(all(7, 2));
		expect(fleet.controllers[0]!.current()?.recalled).to.deep.equal([batch]);
	});

	it('takes a change by polling when the watches lose it', async () => {
		const fleet = new Fleet(7);
		await fleet.run(3);
		fleet.kv.dropsWatchEvents = true;
		fleet.recall();
		expect(fleet.generations()).to.deep.equal(all(7, 1));
		await fleet.run(1);
		expect(fleet.generations()).to.deep.equal(all(7, 2));
	});

	it('takes a change by probing when the message with the head is lost', async () => {
		const fleet = new Fleet(7);
		await fleet.run(3);
		fleet.links.drops = (_to, message) => message.type === messageType.ManifestHead;
		fleet.recall();
		expect(fleet.generations()).to.include(1);
		await fleet.run(1);
		expect(fleet.generations()).to.deep.equal(all(7, 2));
	});

	it('fetches sections elsewhere when the answer with them is lost', async () => {
		const fleet = new Fleet(7);
		await fleet.run(3);
		fleet.links.drops = (_to, message) => message.type === messageType.SectionAnswer;
		const head = fleet.controllers[0]!.head();
		const changed = {...content, models: content.models.map(model => ({...model, versions: ['3']}))};
		fleet.write(config.manifest.proposeApply(head, changed, {changeId: 'second', madeFrom: 1}).unsafeCoerce());
		await fleet.run(2);
		expect(fleet.generations()).to.deep.equal(all(7, 2));
		expect(fleet.controllers[0]!.current()?.models[0]?.versions).to.deep.equal(['3']);
	});

	it('takes a recall at once although the sections of a change before it do not come', async () => {
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

	type CutOff = {readonly name: string; readonly lone: boolean; readonly others: boolean; cut(fleet: Fleet, index: number): void};
	const cutOffs: readonly CutOff[] = [
		{
			name: 'the key-value service lost for one', lone: true, others: true,
			cut(fleet, index) {
				fleet.clients[index]!.down = true;
			},
		},
		{
			name: 'the key-value service lost for all', lone: true, others: true,
			cut(fleet) {
				for (const client of fleet.clients) {
					client.down = true;
				}
			},
		},
		{
			name: 'peers lost for one', lone: true, others: true,
			cut(fleet, index) {
				fleet.links.disconnected.add(fleet.vms[index]!);
			},
		},
		{
			name: 'both lost for one', lone: false, others: true,
			cut(fleet, index) {
				fleet.clients[index]!.down = true;
				fleet.links.disconnected.add(fleet.vms[index]!);
			},
		},
		{
			name: 'the key-value service lost for all and peers lost for one', lone: false, others: true,
			cut(fleet, index) {
				for (const client of fleet.clients) {
					client.down = true;
				}

				fleet.links.disconnected.add(fleet.vms[index]!);
			},
		},
	];
	for (const {name, cut, lone, others} of cutOffs) {
		for (const watching of [true, false]) {
			it(`decides whether to place with ${name}, a ${watching ? 'watcher' : 'router that does not watch'}`, async () => {
				const fleet = new Fleet(7);
				await fleet.run(3);
				const [index] = fleet.indices(watching);
				cut(fleet, index!);
				await fleet.run(8);
				const confirmed = fleet.confirmed();
				expect(confirmed[index!]).to.equal(lone);
				expect(confirmed.filter((_, other) => other !== index)).to.deep.equal(all(6, others));
			});
		}
	}

	it('places again after a cut, with the recall that it missed', async () => {
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

	it('lets a lone router be its own majority', async () => {
		const fleet = new Fleet(1);
		await fleet.run(1);
		fleet.clients[0]!.down = true;
		await fleet.run(10);
		expect(fleet.confirmed()).to.deep.equal([true]);
	});

	it('places on no recalled weights 4 s after a recall, whoever is cut off', async () => {
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
			const reaches = (index: number) => !fleet.clients[index]!.down && !fleet.links.disconnected.has(fleet.vms[index]!);
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

				// A majority that nobody with the key-value service is linked to can't tell this from an outage for all.
				if (![...fleet.vms.keys()].some(other => reaches(other))) {
					fleet.clients[index % size]!.down = false;
					fleet.links.disconnected.delete(fleet.vms[index % size]!);
				}

				await fleet.run(1); // eslint-disable-line no-await-in-loop
				const due = recalls.findLast(recall => recall.at <= fleet.time - 4000)?.generation ?? 1;
				for (const controller of fleet.controllers) {
					const places = controller.isConfirmed(fleet.time);
					confirmed += Number(places);
					unconfirmed += Number(!places);
					expect(!places || controller.current()!.generation >= due).to.equal(true, `${controller.current()?.generation} of ${due}`);
				}
			}
		}), {numRuns: 100, seed: 5});
		expect(confirmed).to.be.greaterThan(unconfirmed);
		expect(unconfirmed).to.be.greaterThan(100);
	});
});
