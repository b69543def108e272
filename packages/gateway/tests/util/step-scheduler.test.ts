import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;

describe('StepScheduler', () => {
	it('runs steps in their order, also those that steps schedule', async () => {
		const scheduler = new gateway.util.StepScheduler(() => 0);
		const ran: number[] = [];
		scheduler.schedule(() => {
			ran.push(1);
			scheduler.schedule(() => ran.push(3));
		});
		scheduler.schedule(() => ran.push(2));
		await sleep(20);
		expect(ran).to.deep.equal([1, 2, 3]);
		expect(scheduler.size).to.equal(0);
	});

	it('lets the event loop turn after steps that took long, and runs all of them', async () => {
		let now = 0;
		const scheduler = new gateway.util.StepScheduler(() => now);
		const turns: number[] = [];
		let turn = 0;
		for (let count = 0; count < 12; count++) {
			scheduler.schedule(() => { // eslint-disable-line @typescript-eslint/no-loop-func -- The clock of the test.
				now += 2;
				turns.push(turn);
			});
		}

		while (turns.length < 12) {
			await sleep(1); // eslint-disable-line no-await-in-loop -- Turns of the event loop.
			turn += 1;
		}

		const byTurn = turns.map(each => turns.filter(other => other === each).length);
		expect(Math.max(...byTurn)).to.equal(2);
	});
});
