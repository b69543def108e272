import * as crypto from 'node:crypto';
import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';
import * as fixture from '../support/router-fixture.js';

const {expect} = chai;
const path = '/v1/services/boekhuis/bookings';
const faults = standIns.fault.FaultName;

type RefusalBody = {
	readonly error: {readonly code: string; readonly execution: string; readonly retryAfterMs?: number};
};

describe('non-idempotent calls', () => {
	let routerFixture: fixture.RouterFixture;

	beforeEach(() => {
		routerFixture = new fixture.RouterFixture();
	});

	afterEach(async () => {
		await routerFixture.stop();
	});

	async function book(key: string, order: string, headers: Readonly<Record<string, string>> = {}): Promise<Response> {
		return routerFixture.call(path, {order}, {'idempotency-key': key, ...headers});
	}

	async function readRefusal(res: Response): Promise<RefusalBody['error']> {
		const {error} = await res.json() as RefusalBody;
		return error;
	}

	function executions(order: string): number {
		return routerFixture.runners.flatMap(runner => runner.executions()).filter(record => record.order === order).length;
	}

	it('executes a call once and returns the recorded response to a retry with the same key', async () => {
		await routerFixture.start();
		const first = await book('k1', 'o1');
		const retry = await book('k1', 'o1');
		expect([first.status, retry.status]).to.deep.equal([200, 200]);
		expect(await retry.text()).to.equal(await first.text());
		expect(executions('o1')).to.equal(1);
	});

	it('refuses an empty key and one of 201 characters as not executed', async () => {
		await routerFixture.start();
		for (const key of ['', 'k'.repeat(201)]) {
			const error = await readRefusal(await book(key, 'o1')); // eslint-disable-line no-await-in-loop -- One after the other.
			expect(error).to.include({code: 'idempotency_key_required', execution: 'not_run'});
		}

		expect(executions('o1')).to.equal(0);
	});

	it('refuses a key that was used with another body', async () => {
		await routerFixture.start();
		await book('k1', 'o1');
		const error = await readRefusal(await book('k1', 'o2'));
		expect(error.code).to.equal('idempotency_key_reused');
		expect(executions('o2')).to.equal(0);
	});

	it('executes only one of many concurrent calls with the same key', async () => {
		await routerFixture.start();
		const all = await Promise.all(Array.from({length: 8}, async () => book('k1', 'o1')));
		expect(all.map(res => res.status).every(status => [200, 409].includes(status))).to.equal(true);
		expect(all.some(res => res.status === 200)).to.equal(true);
		expect(executions('o1')).to.equal(1);
	});

	it('reports the execution as unknown when the response is lost, and never executes the key again', async () => {
		await routerFixture.start({runners: 2});
		for (const runner of routerFixture.runners) {
			await runner.server.applyFault({fault: faults.LoseResponses}); // eslint-disable-line no-await-in-loop
		}

		const lost = await readRefusal(await book('k1', 'o1', {'x-deadline-ms': '2000'}));
		const retry = await readRefusal(await book('k1', 'o1', {'x-deadline-ms': '2000'}));
		expect(lost.execution).to.equal('unknown');
		expect(retry.execution).to.equal('unknown');
		expect(executions('o1')).to.equal(1);
	});

	it('executes a call once and returns its response when the only runner and then the key-value store are frozen for a moment', async () => {
		await routerFixture.start();
		for (const [index, {server}] of [routerFixture.runners[0]!, routerFixture.kv].entries()) {
			await server.applyFault({fault: faults.Freeze}); // eslint-disable-line no-await-in-loop
			const response = book(`k${index}`, `o${index}`);
			await standIns.util.sleep(1500); // eslint-disable-line no-await-in-loop
			await server.applyFault({fault: faults.Clear}); // eslint-disable-line no-await-in-loop
			const {status} = await response; // eslint-disable-line no-await-in-loop
			expect(status).to.equal(200);
			expect(executions(`o${index}`)).to.equal(1);
		}
	});

	it('reports the call as not executed when no runner can be reached', async () => {
		await routerFixture.start({runners: 1});
		await routerFixture.runners[0]!.server.applyFault({fault: faults.Refuse});
		const error = await readRefusal(await book('k1', 'o1'));
		expect(error).to.include({code: 'no_endpoint', execution: 'not_run'});
		expect(executions('o1')).to.equal(0);
	});

	it('executes each booking that is not refused exactly once when the key-value store loses responses to writes that were applied', async () => {
		await routerFixture.start();
		await routerFixture.kv.server.applyFault({fault: faults.LoseResponses, probability: 0.5});
		const orders = Array.from({length: 10}, (_, index) => `o${index}`);
		const all = await Promise.all(orders.map(async order => book(`k-${order}`, order)));
		await routerFixture.kv.server.applyFault({fault: faults.Clear});
		for (const [index, res] of all.entries()) {
			const runs = executions(orders[index]!);
			const expected = res.headers.get('x-execution') === 'not_run' ? 0 : 1;
			expect(runs).to.equal(expected);
		}
	});

	it('refuses caller-chosen keys as not executed during an outage of the key-value store, but serves issued keys and chat calls', async () => {
		await routerFixture.start();
		const granted = await routerFixture.call('/v1/idempotency-keys', {});
		const issued = await granted.json() as {key: string};
		await routerFixture.kv.server.applyFault({fault: faults.Outage});
		const refused = await readRefusal(await book('k1', 'o1', {'x-deadline-ms': '1000'}));
		const served = await book(issued.key, 'o2');
		const retry = await book(issued.key, 'o2');
		expect(refused).to.include({code: 'ledger_unavailable', execution: 'not_run'});
		expect(refused.retryAfterMs).to.be.greaterThan(0);
		expect([served.status, retry.status]).to.deep.equal([200, 200]);
		expect([executions('o1'), executions('o2')]).to.deep.equal([0, 1]);
		const question = await routerFixture.call('/v1/chat/completions', {
			model: fixture.modelId, messages: [{role: 'user', content: crypto.randomUUID()}],
		});
		expect(question.status).to.equal(200);
	});
});
