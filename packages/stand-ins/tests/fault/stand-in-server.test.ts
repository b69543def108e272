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
});
