import * as http from 'node:http';
import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

describe('UsersStoreStandIn', () => {
	const store = new standIns.usersPlatform.UsersStoreStandIn();
	const agent = new http.Agent({keepAlive: true});
	let link: standIns.fault.LinkProxy;
	let linkPort = 0;

	before(async () => {
		const {port} = await store.start();
		link = new standIns.fault.LinkProxy({host: '127.0.0.1', port});
		linkPort = await link.start();
		store.write('a', 1);
	});

	after(async () => {
		agent.destroy();
		link.stop();
		await store.stop();
	});

	async function read(port: number): Promise<number | undefined> {
		return new Promise((resolve, reject) => {
			http.get({
				host: '127.0.0.1', port, path: '/v1/kv-key?key=a', agent,
			}, res => {
				res.resume();
				res.on('end', () => {
					resolve(res.statusCode);
				});
			}).on('error', reject);
		});
	}

	it('answers the calls over one link with another status, and all others as before', async () => {
		chai.expect(await read(linkPort)).to.equal(200);
		const refusal = {status: 429, concerns: (port: number) => link.usesPort(port)};
		store.refusals.add(refusal);
		chai.expect(await read(linkPort)).to.equal(429);
		chai.expect(await read(store.server.port)).to.equal(200);
		store.refusals.delete(refusal);
		chai.expect(await read(linkPort)).to.equal(200);
	});
});
