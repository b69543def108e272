import * as chai from 'chai';
import * as router from '@bluebellmast/router';

const {expect} = chai;
const valid = ['/', '/bookings', '/bookings/7?site=a/../b', '/a-b_c.d~e', '/caf%C3%A9%20x', '/bookings/'];
const invalid = ['/x/../bookings', '/./bookings', '//bookings', '/a//b', '/%62ookings', '/%2e%2e/x', '/a%2Fb', String.raw`/a\b`, '/a%zz', '/a%'];

describe('parseCall', () => {
	function parse(path: string) {
		return router.filters.parseCall({
			method: 'POST', url: `/v1/services/boekhuis${path}`, contentType: '', body: new Uint8Array(),
		});
	}

	for (const path of valid) {
		it(`accepts the path ${path} and keeps it unchanged`, () => {
			expect(parse(path).unsafeCoerce()).to.include({service: 'boekhuis', path});
		});
	}

	for (const path of invalid) {
		it(`refuses the non-normalized path ${path}`, () => {
			expect(parse(path).extract()).to.include({code: 'invalid_request', execution: 'not_run'});
		});
	}
});
