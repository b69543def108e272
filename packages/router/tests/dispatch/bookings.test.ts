import * as crypto from 'node:crypto';
import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';
import * as fixture from '../support/router-fixture.js';

const {expect} = chai;
const path = '/v1/services/boekhuis/bookings';
const faults = standIns.fault.FaultName;

type Refused = {
	readonly error: {readonly code: string; readonly execution: string; readonly retryAfterMs?: number};
};

describe('calls that may not be repeated', () => {
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

	async function readRefusal(res: Response): Promise<Refused['error']> {
		const {error} = await res.json() as Refused;
		return error;
	}

	function executions(order: string): number {
		return routerFixture.runners.flatMap(runner => runner.executions()).filter(record => record.order === order).length;
	}

	it('runs once, and gives a repeat the recorded answer', async () => {
		await routerFixture.start();
		const first = await book('k1', 'o1');
		const repeat = await book('k1', 'o1');
		expect([first.status, repeat.status]).to.deep.equal([200, 200]);
		expect(await repeat.text()).to.equal(await first.text());
		expect(executions('o1')).to.equal(1);
	});

	it('refuses the same key with another body', async () => {
		await routerFixture.start();
		await book('k1', 'o1');
		const error = await readRefusal(await book('k1', 'o2'));
		expect(error.code).to.equal('idempotency_key_reused');
		expect(executions('o2')).to.equal(0);
	});

	it('runs one of many that come at once with the same key', async () => {
		await routerFixture.start();
		const all = await Promise.all(Array.from({length: 8}, async () => book('k1', 'o1')));
		expect(all.map(res => res.status).every(status => [200, 409].includes(status))).to.equal(true);
		expect(all.some(res => res.status === 200)).to.equal(true);
		expect(executions('o1')).to.equal(1);
	});

	it('says unknown when the service takes the call and dies, and never runs the key again', async () => {
		await routerFixture.start({runners: 2});
		for (const runner of routerFixture.runners) {
			await runner.server.applyFault({fault: faults.LoseAnswers}); // eslint-disable-line no-await-in-loop
		}

		const lost = await readRefusal(await book('k1', 'o1', {'x-deadline-ms': '2000'}));
		const repeat = await readRefusal(await book('k1', 'o1', {'x-deadline-ms': '2000'}));
		expect(lost.execution).to.equal('unknown');
		expect(repeat.execution).to.equal('unknown');
		expect(executions('o1')).to.equal(1);
	});

	it('says not run when no runner can be reached', async () => {
		await routerFixture.start({runners: 1});
		await routerFixture.runners[0]!.server.applyFault({fault: faults.Refuse});
		const error = await readRefusal(await book('k1', 'o1'));
		expect(error).to.include({code: 'no_endpoint', execution: 'not_run'});
		expect(executions('o1')).to.equal(0);
	});

	it('runs each booking once though the key-value service loses answers to writes that took effect', async () => {
		await routerFixture.start();
		await routerFixture.kv.server.applyFault({fault: faults.LoseAnswers, probability: 0.5});
		const orders = Array.from({length: 10}, (_, index) => `o${index}`);
		const all = await Promise.all(orders.map(async order => book(`k-${order}`, order)));
		await routerFixture.kv.server.applyFault({fault: faults.Clear});
		for (const [index, res] of all.entries()) {
			const runs = executions(orders[index]!);
			const expected = res.headers.get('x-execution') === 'not_run' ? 0 : 1;
			expect(runs).to.equal(expected);
		}
	});

	it('refuses chosen keys with not run while the key-value service is away, and serves issued keys and questions', async () => {
		await routerFixture.start();
		const granted = await routerFixture.call('/v1/idempotency-keys', {});
		const issued = await granted.json() as {key: string};
		await routerFixture.kv.server.applyFault({fault: faults.Outage});
		const refused = await readRefusal(await book('k1', 'o1', {'x-deadline-ms': '1000'}));
		const served = await book(issued.key, 'o2');
		const repeat = await book(issued.key, 'o2');
		expect(refused).to.include({code: 'ledger_unavailable', execution: 'not_run'});
		expect(refused.retryAfterMs).to.be.greaterThan(0);
		expect([served.status, repeat.status]).to.deep.equal([200, 200]);
		expect([executions('o1'), executions('o2')]).to.deep.equal([0, 1]);
		const question = await routerFixture.call('/v1/chat/completions', {
			model: fixture.modelId, messages: [{role: 'user', content: crypto.randomUUID()}],
		});
		expect(question.status).to.equal(200);
	});
});
