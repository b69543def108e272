import * as chai from 'chai';
import * as undici from 'undici';
import * as standIns from '@bluebellmast/stand-ins';

const {expect} = chai;
const faultNames = standIns.fault.FaultName;

describe('PlainServiceStandIn', () => {
	let service: standIns.plainService.PlainServiceStandIn;
	let addresses: standIns.fault.StandInAddresses;

	async function book(requestId: string): Promise<undici.Dispatcher.ResponseData> {
		return undici.request(`http://127.0.0.1:${addresses.port}/bookings`, {
			method: 'POST', body: JSON.stringify({order: '7'}), headers: {'x-request-id': requestId, 'x-account': 'club'},
		});
	}

	async function failureOf(request: Promise<unknown>): Promise<string | undefined> {
		try {
			await request;
			return undefined;
		} catch (err) {
			return (err as {code?: string}).code;
		}
	}

	beforeEach(async () => {
		service = standIns.plainService.createPlainService({latencyMs: 0});
		addresses = await service.start();
	});

	afterEach(async () => {
		await service.stop();
	});

	it('lists each execution on its fault port, including duplicates', async () => {
		const first = await book('r1');
		expect(await first.body.json()).to.deep.include({order: '7', requestId: 'r1', account: 'club'});
		await book('r1');
		const res = await undici.request(`http://127.0.0.1:${addresses.faultPort}/record`);
		const executions = await res.body.json() as standIns.plainService.Execution[];
		expect(executions.map(({requestId, order}) => [requestId, order])).to.deep.equal([['r1', '7'], ['r1', '7']]);
	});

	it('executes a call whose response is lost', async () => {
		await service.server.applyFault({fault: faultNames.LoseResponses});
		expect(await failureOf(book('r1'))).to.equal('UND_ERR_SOCKET');
		expect(service.executions()).to.have.length(1);
	});

	it('refuses new connections after the fault refuse, and accepts them again after clear', async () => {
		await service.server.applyFault({fault: faultNames.Refuse});
		expect(await failureOf(book('r1'))).to.equal('ECONNREFUSED');
		await service.server.applyFault({fault: faultNames.Clear});
		expect(await book('r2')).to.have.property('statusCode', 200);
		expect(service.executions()).to.have.length(1);
	});

	it('executes a call that arrives while frozen only after clear', async () => {
		await service.server.applyFault({fault: faultNames.Freeze});
		const booking = book('r1');
		await standIns.util.sleep(50);
		expect(service.executions()).to.have.length(0);
		await service.server.applyFault({fault: faultNames.Clear});
		expect(await booking).to.have.property('statusCode', 200);
	});

	it('closes its listener and calls onCrash on the fault crash', async () => {
		let crashed = false;
		await service.stop();
		service = standIns.plainService.createPlainService({
			onCrash() {
				crashed = true;
			},
		});
		addresses = await service.start();
		await service.server.applyFault({fault: faultNames.Crash});
		expect(await failureOf(book('r1'))).to.equal('ECONNREFUSED');
		expect(crashed).to.equal(true);
	});
});
