import * as http from 'node:http';
import * as net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

const {FaultName: faults} = standIns.fault;
const takenMs = 250;

describe('StandInServer', () => {
	// Guards against a soak that ended with EADDRINUSE: a connection of another process used the port during an outage.
	it('listens on its port again after an outage, though the port was taken for a time', async () => {
		const server = new standIns.fault.StandInServer({}, async (_req, res) => {
			res.end('whole');
		});
		const {port} = await server.start();
		const other = net.createServer();
		try {
			await server.applyFault({fault: faults.Outage});
			await new Promise<void>(resolve => {
				other.listen(port, '127.0.0.1', resolve);
			});
			const cleared = server.applyFault({fault: faults.Clear});
			await sleep(takenMs);
			other.close();
			await cleared;
			const status = await new Promise<number | undefined>((resolve, reject) => {
				http.get({host: '127.0.0.1', port, agent: false}, res => {
					res.resume();
					resolve(res.statusCode);
				}).on('error', reject);
			});
			chai.expect(status).to.equal(200);
		} finally {
			other.close();
			await server.stop();
		}
	});

	it('listens on another port after an outage if it may, though another process keeps its port', async () => {
		const server = new standIns.fault.StandInServer({keepsPort: false}, async (_req, res) => {
			res.end('whole');
		});
		const {port} = await server.start();
		const proxy = new standIns.fault.LinkProxy({
			host: '127.0.0.1',
			get port() {
				return server.port;
			},
		});
		const other = net.createServer();
		try {
			const proxyPort = await proxy.start();
			await server.applyFault({fault: faults.Outage});
			await new Promise<void>(resolve => {
				other.listen(port, '127.0.0.1', resolve);
			});
			await server.applyFault({fault: faults.Clear});
			chai.expect(server.port).not.to.equal(port);
			const status = await new Promise<number | undefined>((resolve, reject) => {
				http.get({host: '127.0.0.1', port: proxyPort, agent: false}, res => {
					res.resume();
					resolve(res.statusCode);
				}).on('error', reject);
			});
			chai.expect(status).to.equal(200);
		} finally {
			other.close();
			proxy.stop();
			await server.stop();
		}
	});
});
