import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const limits = {ratio: 0.2, slack: 0, windowMs: 10_000};

describe('RetryWindows', () => {
	const cases = [
		{title: 'as long as its counts matter', afterMs: 14_000, isKept: true},
		{title: 'no longer than that', afterMs: 15_000, isKept: false},
	];
	// Guards against one window for each pool that ever was, and against a retry budget that is lost when another pool comes.
	for (const {title, afterMs, isKept} of cases) {
		it(`keeps the window of a pool ${title}, while others get theirs`, () => {
			const windows = new gateway.call.RetryWindows(limits);
			const window = windows.of('a', 0);
			window.countRequest(0);
			windows.of('b', afterMs).countRequest(afterMs);
			expect(windows.of('a', afterMs) === window).to.equal(isKept);
		});
	}
});
