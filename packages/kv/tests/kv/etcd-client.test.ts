import {Buffer} from 'node:buffer';
import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';
import * as clients from '@bluebellmast/kv';

const {expect} = chai;
const errorCodes = clients.kv.KvErrorCode;
const faultNames = standIns.fault.FaultName;

function textOf(entry: clients.kv.KvEntry | undefined): string | undefined {
	return entry && Buffer.from(entry.value).toString('utf8');
}

describe('EtcdClient', () => {
	let kv: standIns.kv.KvStandIn;
	let url: string;
	let client: clients.kv.EtcdClient;
	let calls: clients.kv.KvCallType[];

	async function startService(options: standIns.kv.KvOptions = {}): Promise<void> {
		kv = standIns.kv.createKv({latencyMs: 0, progressIntervalMs: 20, ...options});
		const {port} = await kv.start();
		url = `http://127.0.0.1:${port}`;
		client = createClient([url]);
	}

	function createClient(baseUrls: readonly string[], callTimeoutMs = 250): clients.kv.EtcdClient {
		return clients.kv.createEtcdClient({
			baseUrls,
			callTimeoutMs,
			watchProgressTimeoutMs: 250,
			onCall(type) {
				calls.push(type);
			},
		});
	}

	/** Replaces the client by one whose calls end in time also on a busy machine. */
	async function usePatientClient(): Promise<void> {
		await client.close();
		client = createClient([url], 3000);
	}

	async function write(key: string, text: string, revision = 0, lease?: string) {
		return client.compareAndSwap(key, revision, Buffer.from(text), lease);
	}

	async function errorOf(result: clients.kv.KvResult<unknown>): Promise<clients.kv.KvErrorCode | undefined> {
		const either = await result;
		return either.isLeft() ? (either.extract()).code : undefined;
	}

	async function valueOf<Value>(result: clients.kv.KvResult<Value>): Promise<Value> {
		const either = await result;
		return either.unsafeCoerce();
	}

	beforeEach(async () => {
		calls = [];
		await startService();
	});

	afterEach(async () => {
		await client.close();
		await kv.stop();
	});

	it('swaps only at the expected revision and otherwise returns the present entry', async () => {
		const first = await valueOf(write('a', 'one'));
		const stale = await valueOf(write('a', 'two'));
		const next = await valueOf(write('a', 'three', first.revision));
		expect([first.swapped, stale.swapped, next.swapped]).to.deep.equal([true, false, true]);
		expect(textOf(stale.current)).to.equal('one');
		expect(textOf(await valueOf(client.get('a')))).to.equal('three');
	});

	it('deletes only at the expected revision', async () => {
		const {revision} = await valueOf(write('a', 'one'));
		const stale = await valueOf(client.compareAndDelete('a', revision + 5));
		const removed = await valueOf(client.compareAndDelete('a', revision));
		expect([stale.swapped, removed.swapped]).to.deep.equal([false, true]);
		expect(await valueOf(client.get('a'))).to.equal(undefined);
	});

	it('returns all keys that start with a prefix and no others', async () => {
		await write('p/1', 'x');
		await write('p/2', 'y');
		await write('q', 'z');
		const entries = await valueOf(client.getPrefix('p/'));
		expect(entries.map(entry => entry.key)).to.deep.equal(['p/1', 'p/2']);
	});

	it('reports an unknown outcome when the response to a write is lost', async () => {
		await kv.server.applyFault({fault: faultNames.LoseResponses});
		expect(await errorOf(write('a', 'one'))).to.equal(errorCodes.OutcomeUnknown);
		expect(textOf(await valueOf(client.get('a')))).to.equal('one');
	});

	it('reports an unknown outcome when a write takes effect after its timeout', async () => {
		await kv.server.applyFault({fault: faultNames.LateWrites, ms: 400});
		expect(await errorOf(write('a', 'one'))).to.equal(errorCodes.OutcomeUnknown);
		expect(await valueOf(client.get('a'))).to.equal(undefined);
		await standIns.util.sleep(300);
		expect(textOf(await valueOf(client.get('a')))).to.equal('one');
	});

	it('reports not sent for a read and an unknown outcome for a write when the service does not respond', async () => {
		await kv.server.applyFault({fault: faultNames.Freeze});
		expect(await errorOf(client.get('a'))).to.equal(errorCodes.NotSent);
		expect(await errorOf(write('a', 'one'))).to.equal(errorCodes.OutcomeUnknown);
		await kv.server.applyFault({fault: faultNames.Clear});
		expect(textOf(await valueOf(client.get('a')))).to.equal('one');
	});

	it('reports not sent when no connection can be opened', async () => {
		await kv.server.applyFault({fault: faultNames.Outage});
		await errorOf(client.get('a'));
		expect(await errorOf(write('a', 'one'))).to.equal(errorCodes.NotSent);
		await kv.server.applyFault({fault: faultNames.Clear});
		expect(await valueOf(client.get('a'))).to.equal(undefined);
	});

	it('replaces a connection after a call on it timed out', async () => {
		await usePatientClient();
		await write('a', 'one');
		// Waits until the connection is back in the pool, so that the next call uses it.
		await standIns.util.sleep(20);
		await kv.server.applyFault({fault: faultNames.Silent});
		expect(await errorOf(client.get('a'))).to.equal(errorCodes.NotSent);
		expect(textOf(await valueOf(client.get('a')))).to.equal('one');
	});

	it('replaces all connections of a pool after a call on one of them timed out', async () => {
		await Promise.all([write('a', 'one'), write('b', 'one'), write('c', 'one')]);
		await standIns.util.sleep(20);
		await kv.server.applyFault({fault: faultNames.Silent});
		expect(await errorOf(client.get('a'))).to.equal(errorCodes.NotSent);
		const results = await Promise.all([client.get('a'), client.get('b'), client.get('c')]);
		expect(results.map(result => result.isRight())).to.deep.equal([true, true, true]);
	});

	it('tries the next base URL when the first refuses connections, also for concurrent calls', async () => {
		const other = createClient(['http://127.0.0.1:1', url]);
		const results = await Promise.all([other.get('a'), other.get('b'), other.get('c')]);
		await other.close();
		expect(results.map(result => result.isRight())).to.deep.equal([true, true, true]);
	});

	describe('with two base URLs', () => {
		let secondKv: standIns.kv.KvStandIn;
		let other: clients.kv.EtcdClient;

		beforeEach(async () => {
			secondKv = standIns.kv.createKv({latencyMs: 0, progressIntervalMs: 20});
			const {port} = await secondKv.start();
			other = createClient([url, `http://127.0.0.1:${port}`]);
		});

		afterEach(async () => {
			await other.close();
			await secondKv.stop();
		});

		it('starts with the second URL after the first did not respond to a read', async () => {
			await kv.server.applyFault({fault: faultNames.Freeze});
			expect(await errorOf(other.get('a'))).to.equal(errorCodes.NotSent);
			expect(await errorOf(other.get('a'))).to.equal(undefined);
			expect(secondKv.counts()).to.deep.equal({range: 1});
		});

		it('starts with the second URL after the first did not respond to a write', async () => {
			await kv.server.applyFault({fault: faultNames.Freeze});
			expect(await errorOf(other.compareAndSwap('a', 0, Buffer.from('one')))).to.equal(errorCodes.OutcomeUnknown);
			expect(await errorOf(other.get('a'))).to.equal(undefined);
			expect(secondKv.counts()).to.deep.equal({range: 1});
		});

		it('stays at the first URL when a watch is closed while it is being opened', async () => {
			await other.get('a');
			other.watch('a', false, createRecordingListener().listener).close();
			await standIns.util.sleep(20);
			await other.get('a');
			expect(secondKv.counts()).to.deep.equal({});
		});

		it('starts with the second URL after the first did not respond to a watch', async () => {
			await other.get('a');
			await kv.server.applyFault({fault: faultNames.Freeze});
			const {listener, ended} = createRecordingListener();
			other.watch('a', false, listener);
			await ended;
			await standIns.util.sleep(20);
			expect(await errorOf(other.get('a'))).to.equal(undefined);
			expect(secondKv.counts()).to.deep.equal({range: 1});
		});
	});

	it('reports a write that exceeds the rate limit', async () => {
		await client.close();
		await kv.stop();
		await startService({writesPerSecond: 1});
		await write('a', 'one');
		expect(await errorOf(write('b', 'two'))).to.equal(errorCodes.RateLimited);
		expect(kv.counts().rate_limited).to.equal(1);
	});

	it('reports a value that exceeds the size limit', async () => {
		await usePatientClient();
		expect(await errorOf(write('a', 'x'.repeat(1_048_577)))).to.equal(errorCodes.ValueTooLarge);
	});

	it('reports an expired lease, whose keys are deleted', async () => {
		const lease = await valueOf(client.grantLease(1000));
		await write('a', 'one', 0, lease.id);
		expect(await valueOf(client.keepLeaseAlive(lease))).to.deep.equal(lease);
		kv.expireLease(lease.id);
		expect(await errorOf(client.keepLeaseAlive(lease))).to.equal(errorCodes.LeaseLost);
		expect(await errorOf(write('b', 'two', 0, lease.id))).to.equal(errorCodes.LeaseLost);
		expect(await errorOf(client.revokeLease(lease))).to.equal(errorCodes.LeaseLost);
		expect(await valueOf(client.get('a'))).to.equal(undefined);
	});

	it('reports the deletion of a key whose lease was not kept alive', async () => {
		const lease = await valueOf(client.grantLease(1000));
		await write('a', 'one', 0, lease.id);
		const {listener, seen} = createRecordingListener();
		client.watch('a', false, listener);
		expect(await seen(1)).to.deep.equal(['a deleted']);
	});

	it('reports each call to onCall, and a watch once', async () => {
		await write('a', 'one');
		await client.get('a');
		const {listener, seen} = createRecordingListener();
		client.watch('a', false, listener);
		await write('a', 'two', 2);
		await seen(1);
		expect([...calls].sort()).to.deep.equal(['range', 'txn', 'txn', 'watch']);
		expect(kv.counts()).to.deep.equal({txn: 2, range: 1, watch: 1});
	});

	describe('watch', () => {
		it('reports all changes in order, starting after the last read', async () => {
			await client.get('p/0');
			const {listener, seen} = createRecordingListener();
			const watching = client.watch('p/', true, listener);
			const first = await valueOf(write('p/1', 'x'));
			await write('p/2', 'y');
			await write('q', 'z');
			await client.compareAndDelete('p/1', first.revision);
			expect(await seen(3)).to.deep.equal(['p/1 x', 'p/2 y', 'p/1 deleted']);
			watching.close();
		});

		it('reports a change that is made between the read of a new client and the watch', async () => {
			const other = createClient([url]);
			const {listener, seen} = createRecordingListener();
			await other.get('a');
			await write('a', 'one');
			other.watch('a', false, listener);
			expect(await seen(1)).to.deep.equal(['a one']);
			await other.close();
		});

		async function endAt(fault: standIns.fault.FaultName): Promise<string> {
			const {listener, seen, ended} = createRecordingListener();
			// With this read the watch begins before the write; otherwise it reads the key at the same time.
			await client.get('a');
			client.watch('a', false, listener);
			await write('a', 'one');
			await seen(1);
			await kv.server.applyFault({fault});
			return ended;
		}

		for (const fault of [faultNames.Silent, faultNames.Freeze, faultNames.Outage]) {
			it(`ends during the fault ${fault}`, async () => {
				expect(await endAt(fault)).to.be.a('string');
			});
		}

		it('stays open while only progress notices arrive', async () => {
			const {listener, seen, ends} = createRecordingListener();
			client.watch('a', false, listener);
			await standIns.util.sleep(600);
			await write('a', 'one');
			await seen(1);
			expect(ends).to.deep.equal([]);
		});
	});
});

/** Creates a listener that records its events, and functions that wait for them. */
function createRecordingListener() {
	const lines: string[] = [];
	const ends: string[] = [];
	let onLine: () => void = () => undefined;
	let onEnd: (reason: string) => void = () => undefined;
	const ended = new Promise<string>(resolve => {
		onEnd = resolve;
	});
	const listener: clients.kv.KvWatchListener = {
		onChange(change) {
			lines.push(`${change.key} ${textOf(change.entry) ?? 'deleted'}`);
			onLine();
		},
		onEnd(reason) {
			ends.push(reason);
			onEnd(reason);
		},
	};
	const seen = async (count: number): Promise<string[]> => new Promise(resolve => {
		onLine = () => {
			if (lines.length >= count) {
				resolve(lines);
			}
		};

		onLine();
	});
	return {
		listener, seen, ended, ends,
	};
}
