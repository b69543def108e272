import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const host = '127.0.0.1';

function createExchange(port: number): gateway.peers.PeerExchange {
	return new gateway.peers.PeerExchange({
		listen: {host, port},
		log: {write: () => undefined},
		onDigest: () => undefined,
		onQuotaMessage: () => undefined,
	});
}

describe('PeerExchange', () => {
	it('rejects listening at an address that is in use', async () => {
		const first = createExchange(0);
		await first.listen();
		const second = createExchange(Number(first.address.split(':')[1]));
		const listen = async (): Promise<string | undefined> => {
			try {
				await second.listen();
				return 'listening';
			} catch (err) {
				return (err as NodeJS.ErrnoException).code;
			}
		};

		const outcome = await Promise.race([listen(), sleep(5000, 'not settled', {ref: false})]);
		first.close();
		second.close();
		chai.expect(outcome).to.equal('EADDRINUSE');
	});
});
