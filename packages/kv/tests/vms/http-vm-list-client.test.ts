import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';
import * as clients from '@bluebellmast/kv';

const {expect} = chai;
const vm: clients.vms.ListedVm = {
	vm: 'a', host: '10.0.0.1', peerPort: 7000, dataCentre: 'one', leaving: false,
};

describe('HttpVmListClient', () => {
	let list: standIns.vmList.VmListStandIn;
	let client: clients.vms.HttpVmListClient;

	beforeEach(async () => {
		list = standIns.vmList.createVmList({vms: [vm], lagMs: 60_000});
		const {port} = await list.start();
		client = clients.vms.createHttpVmListClient({baseUrl: `http://127.0.0.1:${port}`, timeoutMs: 200});
	});

	afterEach(async () => {
		await client.close();
		await list.stop();
	});

	it('returns the list as the platform reports it, even if out of date', async () => {
		list.set([]);
		expect(await client.list()).to.deep.equal([vm]);
	});

	it('drops malformed entries', async () => {
		await list.stop();
		const malformed: unknown[] = [{vm: 'b'}, 7];
		list = standIns.vmList.createVmList({vms: [vm, ...malformed as clients.vms.ListedVm[]]});
		const {port} = await list.start();
		const other = clients.vms.createHttpVmListClient({baseUrl: `http://127.0.0.1:${port}`});
		expect(await other.list()).to.deep.equal([vm]);
		await other.close();
	});

	async function listAt(fault: standIns.fault.FaultName): Promise<readonly clients.vms.ListedVm[] | undefined> {
		await list.server.applyFault({fault});
		return client.list();
	}

	for (const fault of [standIns.fault.FaultName.Freeze, standIns.fault.FaultName.Outage]) {
		it(`returns undefined during the fault ${fault}`, async () => {
			expect(await listAt(fault)).to.equal(undefined);
		});
	}
});
