import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const eventType = core.timeline.TimelineEventType;

describe('timeline', () => {
	it('orders an event after the message that caused it when clocks differ', () => {
		const ahead = new core.timeline.TimelineRingBuffer({vm: 'a'});
		const behind = new core.timeline.TimelineRingBuffer({vm: 'b'});
		const cause = ahead.record({type: eventType.OrderSent}, 2000);
		behind.observe(ahead.timestamp, 1000);
		const effect = behind.record({type: eventType.OrderFinished}, 1001);
		expect(core.timeline.mergeEvents([[effect], [cause]])).to.deep.equal([cause, effect]);
	});

	const errors: ReadonlyArray<readonly [string, unknown, core.timeline.TimelineEventType]> = [
		['a violated invariant', new core.util.InvariantError('a.b', 'state'), eventType.InvariantBroken],
		['another error', new TypeError('no such field'), eventType.InternalError],
		['a thrown string', 'no reason', eventType.InternalError],
	];
	for (const [label, err, type] of errors) {
		it(`describes ${label} as ${type}`, () => {
			expect(core.timeline.createErrorEvent(err)).to.deep.equal({type, detail: String(err)});
		});
	}

	it('ignores a remote clock that is too far ahead', () => {
		const ring = new core.timeline.TimelineRingBuffer({vm: 'a', maxDriftMs: 100});
		ring.observe({at: 1_000_000, counter: 0}, 1000);
		expect(ring.record({type: eventType.RouterReady}, 1000).at).to.equal(1000);
	});

	it('overwrites the oldest events and counts them', () => {
		const ring = new core.timeline.TimelineRingBuffer({vm: 'a', capacity: 3});
		for (let at = 1; at <= 5; at++) {
			ring.record({type: eventType.RequestReceived, requestId: `r${at}`}, at);
		}

		expect(ring.overwrittenCount).to.equal(2);
		expect(ring.select({}).map(event => event.requestId)).to.deep.equal(['r3', 'r4', 'r5']);
		expect(ring.select({from: 4}, 1).map(event => event.requestId)).to.deep.equal(['r5']);
	});
});
