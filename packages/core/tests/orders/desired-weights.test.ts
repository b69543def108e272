import * as chai from 'chai';
import * as core from '@bluebellmast/core';

describe('isRecalledKey', () => {
	const cases: ReadonlyArray<readonly [string, core.model.BatchKey, boolean]> = [
		['m@1', 'model:m@1', true],
		['m@1', 'model:m@2', false],
		['m@1+a@2', 'model:m@1', true],
		['m@1+a@2', 'adapter:a@2', true],
		['m@1+a@2', 'adapter:a@1', false],
		['m@1+b5', 'model:m@1+b5', true],
		['m@1+b5', 'model:m@1', false],
		['m@1+b5+a@2', 'model:m@1+b5', true],
		['m@1+b5+a@2', 'adapter:a@2', true],
		['m@1+a@2+c7', 'adapter:a@2+c7', true],
		['m@1+a@2+c7', 'model:m@1', true],
		['m@1+a@2+c7', 'adapter:a@2', false],
		['m', 'model:m@1', false],
	];
	for (const [key, recalled, isRecalled] of cases) {
		it(`${isRecalled ? 'finds' : 'does not find'} ${recalled} in ${key}`, () => {
			chai.expect(core.orders.isRecalledKey(key, new Set([recalled]))).to.equal(isRecalled);
		});
	}
});
