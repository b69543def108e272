import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as config from '@bluebellmast/config';
import * as clients from '@bluebellmast/kv';
import * as standIns from '@bluebellmast/stand-ins';
import * as router from '@bluebellmast/router';

const {expect} = chai;
const host = '127.0.0.1';
const batch = 'model:chat@2';
const deadlineMs = 10_000;
const content: config.manifest.ManifestContent = {
	models: [{
		id: 'chat', service: 'pool', versions: ['2', '1'], defaultKind: 'question', supportsForcedPrefix: false,
	}],
	adapters: [],
	accounts: [],
	kinds: [],
	services: [],
	endpoints: [],
};

/** A manifest controller with TCP peer links and an HTTP client of the key-value service. */
class Node {
	readonly network: router.peers.TcpPeerNetwork;
	readonly controller: router.controllers.ManifestController;
	readonly #kv: clients.kv.EtcdClient;

	constructor(vm: string, kvUrl: string, vms: readonly string[], nodes: readonly Node[]) {
		const clock = new router.clock.SystemClock();
		this.#kv = clients.kv.createEtcdClient({baseUrls: [kvUrl], callTimeoutMs: 300});
		this.network = new router.peers.TcpPeerNetwork({
			vm, incarnation: `${vm}-1`, dataCentre: 'dc-1', host, port: 0, clock, heartbeatMs: 50,
			addresses: () => nodes.filter(node => node !== this).map(node => ({host, port: node.network.port})),
		});
		this.controller = new router.controllers.ManifestController({
			vm, kv: this.#kv, peers: this.network, clock, pollMs: 100, liveMembers: () => [vm, ...this.network.connectedVms()], listedVms: () => vms,
		});
	}

	get generation(): number {
		return this.controller.current()?.generation ?? 0;
	}

	async stop(): Promise<void> {
		await this.controller.stop();
		await this.network.stop();
		await this.#kv.close();
	}
}

async function until(condition: () => boolean): Promise<void> {
	const deadline = Date.now() + deadlineMs;
	while (!condition() && Date.now() < deadline) {
		await timers.setTimeout(10); // eslint-disable-line no-await-in-loop
	}

	expect(condition()).to.equal(true);
}

describe('ManifestController over TCP and HTTP', () => {
	const vms = ['vm-0', 'vm-1', 'vm-2', 'vm-3', 'vm-4'];
	const nodes: Node[] = [];
	const kv = standIns.kv.createKv({host, port: 0});
	let operator: clients.kv.EtcdClient;
	let kvUrl: string;

	const startNode = async (vm: string) => {
		const node = new Node(vm, kvUrl, vms, nodes);
		nodes.push(node);
		await node.network.start();
		await node.controller.start();
		return node;
	};

	/** Writes a change and returns its head. */
	const write = async ({head, newSections}: config.manifest.ChangeProposal) => {
		for (const {hash, bytes} of newSections) {
			await operator.compareAndSwap(config.manifest.sectionKey(hash), 0, bytes); // eslint-disable-line no-await-in-loop
		}

		const current = await operator.get(config.manifest.headKey);
		const revision = current.unsafeCoerce()?.revision ?? 0;
		const swap = await operator.compareAndSwap(config.manifest.headKey, revision, config.manifest.encodeHead(head));
		expect(swap.unsafeCoerce().swapped).to.equal(true);
		return head;
	};

	before(async () => {
		const {port} = await kv.start();
		kvUrl = `http://${host}:${port}`;
		operator = clients.kv.createEtcdClient({baseUrls: [kvUrl]});
		for (const vm of vms.slice(0, 4)) {
			await startNode(vm); // eslint-disable-line no-await-in-loop
		}
	});

	after(async () => {
		await Promise.all(nodes.map(async node => node.stop()));
		await operator.close();
		await kv.stop();
	});

	it('activates changes on all routers, also on one that starts while the key-value service is unavailable', async () => {
		const first = await write(config.manifest.proposeApply(undefined, content, {changeId: 'a', madeFrom: 0}).unsafeCoerce());
		await until(() => nodes.every(node => node.generation === 1));
		await write(config.manifest.proposeRecall(first, [batch], 'r').unsafeCoerce());
		await until(() => nodes.every(node => node.generation === 2 && node.controller.isConfirmed(Date.now())));
		await kv.stop();
		const lateNode = await startNode('vm-4');
		await until(() => lateNode.generation === 2 && lateNode.controller.isConfirmed(Date.now()));
		expect(lateNode.controller.current()).to.deep.equal({...content, generation: 2, recalled: [batch]});
	});
});
