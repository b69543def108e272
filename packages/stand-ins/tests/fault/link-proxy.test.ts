import * as http from 'node:http';
import type * as net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

const {expect} = chai;
const {LinkFault: linkFaults} = standIns.fault;
/** Milliseconds after which a response is taken to be held back. */
const waitMs = 150;
const held = 'held';

describe('LinkProxy', () => {
	let server: http.Server;
	let proxy: standIns.fault.LinkProxy;
	let agent: http.Agent;
	let port = 0;
	let requests = 0;

	beforeEach(async () => {
		requests = 0;
		server = http.createServer((_req, res) => {
			requests += 1;
			res.end('whole');
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		proxy = new standIns.fault.LinkProxy({host: '127.0.0.1', port: (server.address() as net.AddressInfo).port});
		port = await proxy.start();
		agent = new http.Agent({keepAlive: true, maxSockets: 1});
	});

	afterEach(() => {
		agent.destroy();
		proxy.stop();
		server.close();
		server.closeAllConnections();
	});

	async function send(): Promise<string> {
		return new Promise((resolve, reject) => {
			const req = http.get({host: '127.0.0.1', port, agent}, res => {
				res.setEncoding('utf8');
				let text = '';
				res.on('data', (data: string) => {
					text += data;
				});
				res.on('end', () => {
					resolve(text);
				});
				res.on('error', reject);
			});
			req.on('error', reject);
		});
	}

	async function sendOrFail(): Promise<string> {
		try {
			return await send();
		} catch (err) {
			return String(err);
		}
	}

	async function sendOrHold(): Promise<{readonly seen: string; readonly answer: Promise<string>}> {
		const answer = sendOrFail();
		return {seen: await Promise.race([answer, sleep(waitMs, held)]), answer};
	}

	it('forwards requests and responses', async () => {
		expect(await send()).to.equal('whole');
		expect(await send()).to.equal('whole');
	});

	async function expectHeld(fault: standIns.fault.LinkFault, arrived: number): Promise<void> {
		await send();
		proxy.setFault(fault);
		const {seen, answer} = await sendOrHold();
		expect(seen).to.equal(held);
		expect(requests).to.equal(arrived);
		proxy.setFault(linkFaults.None);
		expect(await answer).to.equal('whole');
	}

	it('keeps back requests until the fault ends', async () => expectHeld(linkFaults.HoldRequests, 1));

	it('keeps back responses until the fault ends', async () => expectHeld(linkFaults.HoldResponses, 2));

	it('delays data', async () => {
		proxy.setFault(linkFaults.Delay, waitMs);
		const {seen, answer} = await sendOrHold();
		expect(seen).to.equal(held);
		expect(await answer).to.equal('whole');
	});

	it('resets open and new connections', async () => {
		await send();
		proxy.setFault(linkFaults.Reset);
		for (let count = 0; count < 2; count++) {
			expect(await sendOrFail()).to.contain('Error'); // eslint-disable-line no-await-in-loop -- One after the other.
		}

		proxy.setFault(linkFaults.None);
		expect(await send()).to.equal('whole');
	});

	it('silences open connections for good and lets new ones work', async () => {
		await send();
		proxy.setFault(linkFaults.Silence);
		proxy.setFault(linkFaults.None);
		const {seen} = await sendOrHold();
		expect(seen).to.equal(held);
		agent.destroy();
		agent = new http.Agent();
		expect(await send()).to.equal('whole');
	});
});
