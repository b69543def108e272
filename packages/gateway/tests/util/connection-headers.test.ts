import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;

describe('listConnectionHeaders', () => {
	it('lists the usual ones', () => {
		expect([...gateway.util.listConnectionHeaders([])]).to.include.members(['connection', 'transfer-encoding', 'te']);
	});

	it('adds what any Connection header declares, whatever its case', () => {
		const names = gateway.util.listConnectionHeaders(['X-A', 'kept', 'Connection', 'close, X-Own', 'connection', ' x-other']);
		expect([...names]).to.include.members(['close', 'x-own', 'x-other']);
		expect([...names]).not.to.include('x-a');
	});
});
