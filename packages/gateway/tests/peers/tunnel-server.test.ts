import {once} from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const timeoutMs = 1000;
const anyPort = {host: '127.0.0.1', port: 0};

async function listen(server: net.Server): Promise<string> {
	server.listen(anyPort.port, anyPort.host);
	await once(server, 'listening');
	return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

function createEntry(address: string, changes: Partial<core.fleet.EndpointEntry> = {}): core.fleet.EndpointEntry {
	return {
		id: 'e-1', bornAt: 7, pool: 'app', address, dataCentre: 'dc', slots: 1, state: core.fleet.EndpointState.Ready, weights: new Map(), ...changes,
	};
}

describe('TunnelServer', () => {
	let endpoint: net.Server;
	let connected: net.Socket[];
	let entry: core.fleet.EndpointEntry;
	let tunnels: gateway.peers.TunnelServer;
	let isMember: boolean;

	beforeEach(async () => {
		connected = [];
		endpoint = net.createServer({allowHalfOpen: true}, socket => {
			socket.on('error', () => undefined);
			connected.push(socket);
		});
		entry = createEntry(await listen(endpoint));
		isMember = true;
		tunnels = new gateway.peers.TunnelServer({
			listen: anyPort,
			isMember: () => isMember,
			findAddress: ({id, bornAt}) => id === entry.id && bornAt === entry.bornAt ? entry.address : undefined,
		});
		await tunnels.listen();
	});

	afterEach(() => {
		tunnels.close();
		endpoint.close();
		for (const socket of connected) {
			socket.destroy();
		}
	});

	async function open(changes: Partial<core.fleet.EndpointEntry> = {}): Promise<net.Socket> {
		const socket = await gateway.endpoints.openTunnel({vm: 'vm-2', address: tunnels.address!}, createEntry('192.0.2.1:9', changes), timeoutMs);
		socket.on('error', () => undefined);
		return socket;
	}

	async function getStatus(changes: Partial<core.fleet.EndpointEntry> = {}): Promise<number> {
		try {
			const socket = await open(changes);
			socket.destroy();
			return 200;
		} catch (err) {
			return (err as gateway.endpoints.TunnelError).status;
		}
	}

	it('connects to the address that its own registry has, and relays bytes both ways with backpressure', async () => {
		const socket = await open();
		const sent = 'x'.repeat(3_000_000);
		connected[0]!.pipe(connected[0]!);
		let received = 0;
		socket.on('data', (data: Uint8Array) => {
			received += data.length;
		});
		socket.write(sent);
		while (received < sent.length) {
			await once(socket, 'data'); // eslint-disable-line no-await-in-loop -- Data arrives in chunks.
		}

		expect(received).to.equal(sent.length);
	});

	it('connects to no endpoint that is not listed, nor to another incarnation', async () => {
		expect(await getStatus({id: 'other'})).to.equal(403);
		expect(await getStatus({bornAt: 6})).to.equal(403);
		expect(connected).to.deep.equal([]);
	});

	it('reports that an endpoint refuses connections', async () => {
		endpoint.close();
		expect(await getStatus()).to.equal(gateway.endpoints.refusedStatus);
	});

	// Guards against an outsider who gets connections to endpoints through a VM.
	it('closes the connections of others than VMs', async () => {
		isMember = false;
		expect(await getStatus()).to.equal(0);
		expect(connected).to.deep.equal([]);
	});

	it('serves no other requests', async () => {
		const [host, port] = tunnels.address!.split(':');
		const req = http.get({host, port: Number(port), agent: false});
		const [res] = await once(req, 'response') as [http.IncomingMessage];
		res.resume();
		expect(res.statusCode).to.equal(405);
	});

	it('takes no new connections in a shutdown, and publishes no address, while open ones go on', async () => {
		const {address} = tunnels;
		const socket = await open();
		tunnels.beginShutdown();
		expect(tunnels.address).to.equal(undefined);
		let status = 0;
		try {
			await gateway.endpoints.openTunnel({vm: 'vm-2', address: address!}, entry, timeoutMs);
		} catch (err) {
			({status} = err as gateway.endpoints.TunnelError);
		}

		expect(status).to.equal(503);
		connected[0]!.write('later');
		const [data] = await once(socket, 'data') as [Uint8Array];
		expect(String(data)).to.equal('later');
	});

	it('bounds the connections of one VM', async () => {
		const sockets: net.Socket[] = [];
		let status = 200;
		while (status === 200 && sockets.length < 500) {
			try {
				sockets.push(await open()); // eslint-disable-line no-await-in-loop -- One after the other.
			} catch (err) {
				({status} = err as gateway.endpoints.TunnelError);
			}
		}

		expect(status).to.equal(503);
		expect(sockets.length).to.equal(150);
		for (const socket of sockets) {
			socket.destroy();
		}

		while (tunnels.size > 0) {
			await sleep(5); // eslint-disable-line no-await-in-loop -- Waits until the ends are read.
		}

		expect(await getStatus()).to.equal(200);
	});

	// Guards against a response that looks complete though the endpoint broke it off.
	it('resets the connection when the endpoint resets its own', async () => {
		const socket = await open();
		connected[0]!.write('begun');
		await once(socket, 'data');
		const ended = new Promise<string>(resolve => {
			socket.once('end', () => {
				resolve('end');
			});
			socket.once('error', err => {
				resolve((err as NodeJS.ErrnoException).code ?? '');
			});
		});
		connected[0]!.resetAndDestroy();
		expect(await ended).to.equal('ECONNRESET');
	});

	// Guards against endpoints that work on for callers that have left.
	it('ends the connection to the endpoint within 100 ms when the VM closes its own', async () => {
		const socket = await open();
		const ended = once(connected[0]!.resume(), 'end');
		const closedAt = performance.now();
		socket.destroy();
		await ended;
		expect(performance.now() - closedAt).to.be.below(100);
		while (tunnels.size > 0) {
			await sleep(5); // eslint-disable-line no-await-in-loop -- Waits until the end is recorded.
		}
	});
});
