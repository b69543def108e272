import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

describe('parseBatch', () => {
	const valid = ['model:lantaarn@7', 'adapter:site@2026-11'];
	for (const text of valid) {
		it(`parses '${text}' so that formatBatch returns the same text`, () => {
			const batch = core.model.parseBatch(text);
			expect(batch && core.model.formatBatch(batch)).to.equal(text);
		});
	}

	const invalid = ['', 'model:x', 'weights:x@1', 'model:@1', 'model:x@'];
	for (const text of invalid) {
		it(`returns undefined for malformed '${text}'`, () => {
			expect(core.model.parseBatch(text)).to.equal(undefined);
		});
	}
});
