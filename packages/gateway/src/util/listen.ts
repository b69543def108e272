import type * as net from 'node:net';

/** An address to listen on. */
export type ListenAddress = {
	readonly host: string;
	/** 0 selects a free port. */
	readonly port: number;
};

/** Starts listening; rejects if the server can't bind to the address. */
export async function listenOn(server: net.Server, address: ListenAddress): Promise<void> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, () => {
			server.off('error', reject);
			resolve();
		});
	});
}

/** Returns the port on which a server listens. */
export function getPort(server: net.Server): number {
	return (server.address() as net.AddressInfo).port;
}
