import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;

describe('ResponseMemory', () => {
	it('ends the responses whose callers stopped reading first when all take too much', () => {
		const memory = new gateway.call.ResponseMemory(100);
		const evicted: string[] = [];
		const add = (name: string, bytes: number): void => {
			memory.addUnread(name, {
				bytes, evict() {
					evicted.push(name);
				},
			});
		};

		add('a', 40);
		add('b', 40);
		memory.removeUnread('a');
		add('a', 40);
		expect(evicted).to.deep.equal([]);
		add('c', 50);
		expect(evicted).to.deep.equal(['b']);
		expect(memory.usedBytes).to.equal(90);
		memory.removeUnread('a');
		memory.removeUnread('b');
		expect(memory.usedBytes).to.equal(50);
	});

	it('allows no more to be kept of responses that are not complete when it is used up', () => {
		const memory = new gateway.call.ResponseMemory(100);
		expect(memory.changeBuffered(60)).to.equal(true);
		expect(memory.changeBuffered(60)).to.equal(false);
		expect(memory.changeBuffered(-60)).to.equal(true);
		expect(memory.usedBytes).to.equal(60);
	});
});
