import type * as net from 'node:net';

/** An address to listen on. */
export type ListenAddress = {
	readonly host: string;
	/** 0 for any free port. */
	readonly port: number;
};

/** Starts a server; rejects when the address can't be used. */
export async function listenOn(server: net.Server, address: ListenAddress): Promise<void> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, () => {
			server.off('error', reject);
			resolve();
		});
	});
}

/** Port on which a server listens. */
export function getPort(server: net.Server): number {
	return (server.address() as net.AddressInfo).port;
}
