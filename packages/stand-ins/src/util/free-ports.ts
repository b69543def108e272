import * as net from 'node:net';

/** Returns TCP ports of a local address that are currently free. */
export async function findFreePorts(count: number, host = '127.0.0.1'): Promise<number[]> {
	const servers = await Promise.all(Array.from({length: count}, async () => openServer(host)));
	const ports = servers.map(server => (server.address() as net.AddressInfo).port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}

async function openServer(host: string): Promise<net.Server> {
	const server = net.createServer();
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, host, () => {
			resolve(server);
		});
	});
}
