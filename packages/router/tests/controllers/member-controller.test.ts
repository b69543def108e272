import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import type * as clients from '@bluebellmast/kv';
import * as router from '@bluebellmast/router';

const host = '127.0.0.1';
const fastTimings = {heartbeatMs: 20, silentMs: 100, dialDelays: {firstMs: 10, maxMs: 50}};

async function until(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await sleep(5); // eslint-disable-line no-await-in-loop
	}
}

describe('MemberController', () => {
	let routers: Array<{stop: () => Promise<void>}> = [];
	let listed: readonly clients.vms.ListedVm[] | undefined;

	afterEach(async () => {
		await Promise.all(routers.map(async each => each.stop()));
		routers = [];
		listed = undefined;
	});

	async function startRouter(vm: string, seedAddresses: readonly router.peers.PeerAddress[], incarnation = `${vm}-1`) {
		const clock = new router.clock.SystemClock();
		// The network looks up addresses in the controller, which is created after it.
		const created: {members?: router.controllers.MemberController} = {};
		const network = new router.peers.TcpPeerNetwork({
			vm, incarnation, dataCentre: 'dc', host, port: 0, clock, ...fastTimings,
			addresses: () => created.members?.addresses() ?? [],
			findAddress: other => created.members?.findAddress(other),
		});
		await network.start();
		const members = new router.controllers.MemberController({
			vm, incarnation, dataCentre: 'dc', host, port: network.port, peers: network, seedAddresses, clock,
			vmList: {list: async () => listed},
			listIntervalMs: 20,
			limits: {periodMs: 20, suspicionTimeoutMs: 100},
		});
		created.members = members;
		const restored: unknown[] = [];
		const snapshots = new router.controllers.SnapshotController({
			peers: network,
			retryIntervalMs: 10,
			sources: [members.snapshotSource(), {
				name: 'limits', capture: () => ({from: vm}), restore: body => restored.push(body),
			}],
		});
		await members.start();
		await snapshots.start();
		let stopped = false;
		const stop = async () => {
			if (!stopped) {
				stopped = true;
				await snapshots.stop();
				await members.stop();
				await network.stop();
			}
		};

		/** Closes the links without announcing it to the other routers. */
		const crash = async () => {
			stopped = true;
			await snapshots.stop();
			await network.stop();
			await members.stop();
		};

		const result = {
			network, members, restored, stop, crash, address: {host, port: network.port},
		};
		routers.push(result);
		return result;
	}

	it('finds all members from one seed address, and detects a graceful shutdown, a crash and a restart', async () => {
		const a = await startRouter('a', []);
		const b = await startRouter('b', [a.address]);
		const c = await startRouter('c', [a.address]);
		const d = await startRouter('d', [a.address]);
		await until(() => [a, b, c, d].every(each => each.members.liveMembers().length === 4));
		chai.expect(a.members.incarnationOf('c')).to.equal('c-1');
		await c.stop();
		await until(() => [a, b, d].every(each => each.members.isGone('c', 'c-1')));
		await d.crash();
		await until(() => [a, b].every(each => each.members.isGone('d', 'd-1')));
		chai.expect(a.members.isGone('b', 'b-1')).to.equal(false);
		const again = await startRouter('d', [b.address], 'd-2');
		await until(() => [a, b, again].every(each => each.members.incarnationOf('d') === 'd-2'));
		chai.expect([...again.members.liveMembers()].sort()).to.deep.equal(['a', 'b', 'd']);
	});

	it('restores the snapshot of a running router on a starting one', async () => {
		const a = await startRouter('a', []);
		const b = await startRouter('b', [a.address]);
		await until(() => b.restored.length === 1);
		chai.expect(b.restored).to.deep.equal([{from: 'a'}]);
	});

	it('uses the VM list to find routers and to mark them as leaving, but not to remove them', async () => {
		const a = await startRouter('a', []);
		const b = await startRouter('b', []);
		listed = [{
			vm: 'b', host, peerPort: b.address.port, dataCentre: 'dc', leaving: true,
		}];
		await until(() => a.members.liveMembers().length === 2);
		await until(() => a.members.liveRecords().some(record => record.vm === 'b' && record.leaving));
		listed = [];
		await until(() => a.members.listedVms().length === 0);
		chai.expect(a.members.liveMembers()).to.include('b');
		chai.expect(a.members.isGone('b', 'b-1')).to.equal(false);
	});

	it('counts seed addresses as listed VMs until it has read the VM list, so that a router is not a majority on its own', async () => {
		const seedAddress = {host, port: 9};
		const a = await startRouter('a', [seedAddress]);
		chai.expect(a.members.listedVms()).to.deep.equal(['a', `${host}:9`]);
		listed = [{
			vm: 'a', host, peerPort: a.address.port, dataCentre: 'dc', leaving: false,
		}];
		await until(() => a.members.listedVms().length === 1);
	});
});
