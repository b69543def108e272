import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;

describe('listConnectionHeaders', () => {
	it('lists the standard hop-by-hop headers', () => {
		expect([...gateway.util.listConnectionHeaders([])]).to.include.members(['connection', 'transfer-encoding', 'te']);
	});

	it('adds the names in all Connection headers, regardless of case', () => {
		const names = gateway.util.listConnectionHeaders(['X-A', 'kept', 'Connection', 'close, X-Own', 'connection', ' x-other']);
		expect([...names]).to.include.members(['close', 'x-own', 'x-other']);
		expect([...names]).not.to.include('x-a');
	});
});
