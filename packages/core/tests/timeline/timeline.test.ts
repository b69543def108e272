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
