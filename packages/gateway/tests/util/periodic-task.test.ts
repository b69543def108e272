import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as blocking from '../../../kv/tests/support/blocking.js';
import * as threadServer from '../../../kv/tests/support/thread-server.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const stepMs = 50;

function createTask(name: string, intervalMs: number): gateway.util.PeriodicTask {
	return {name, intervalMs, run: () => undefined};
}

/** Returns when each task starts if its runs take the given time, with a timer that fires late by the given times in turn. */
function simulate(tasks: readonly gateway.util.PeriodicTask[], runMs: number, delaysMs: readonly number[]): Record<string, number[]> {
	const schedule = new gateway.util.TaskSchedule(tasks, stepMs);
	const starts: Record<string, number[]> = Object.fromEntries(tasks.map(({name}) => [name, []]));
	const running: Array<{readonly task: gateway.util.PeriodicTask; readonly endsAt: number}> = [];
	for (let step = 0, now = 0; step < 12; step++) {
		for (const {task, endsAt} of running.splice(0)) {
			if (endsAt <= now) {
				schedule.recordEnd(task, endsAt);
			} else {
				running.push({task, endsAt});
			}
		}

		for (const task of schedule.takeDue(now)) {
			starts[task.name]!.push(now);
			if (runMs === 0) {
				schedule.recordEnd(task, now);
			} else {
				running.push({task, endsAt: now + runMs});
			}
		}

		now += stepMs + delaysMs[step % delaysMs.length]!;
	}

	return starts;
}

describe('TaskSchedule', () => {
	const tasks = [createTask('short', 50), createTask('medium', 100), createTask('long', 150)];

	it('starts all tasks at once, and each again after its interval', () => {
		expect(simulate(tasks, 0, [0])).to.deep.equal({
			short: [0, 50, 100, 150, 200, 250, 300, 350, 400, 450, 500, 550], medium: [0, 100, 200, 300, 400, 500], long: [0, 150, 300, 450],
		});
	});

	it('keeps the intervals when the timer fires somewhat late', () => {
		expect(simulate(tasks, 0, [1]).medium).to.deep.equal([0, 102, 204, 306, 408, 510]);
	});

	it('counts time, not steps, when the process is delayed', () => {
		expect(simulate(tasks, 0, [60]).medium).to.deep.equal([0, 110, 220, 330, 440, 550, 660, 770, 880, 990, 1100, 1210]);
	});

	it('counts the interval from the end of a run to the nearest step, and never starts a task that runs', () => {
		expect(simulate([createTask('short', 50)], 120, [0]).short).to.deep.equal([0, 150, 300, 450]);
	});
});

describe('runPeriodically', () => {
	it('runs the other tasks, and a failed one again, after an error, and none after the stop', async () => {
		const runs = {failing: 0, other: 0};
		const logged: unknown[] = [];
		const handle = gateway.util.runPeriodically([
			{
				name: 'failing',
				intervalMs: 1,
				async run() {
					runs.failing += 1;
					throw new Error('broken');
				},
			},
			{
				name: 'other',
				intervalMs: 1,
				run() {
					runs.other += 1;
				},
			},
		], {
			stepMs: 1,
			now: () => performance.now(),
			log: {
				write(event, fields) {
					if (event === gateway.util.LogEvent.InternalError) {
						logged.push(fields);
					}
				},
			},
		});
		while (runs.failing < 3 || runs.other < 3) {
			await new Promise(resolve => { // eslint-disable-line no-await-in-loop -- Waits for the runs.
				setTimeout(resolve, 1);
			});
		}

		handle.stop();
		const atStop = {...runs};
		expect(logged[0]).to.deep.equal({task: 'failing', problem: 'Error: broken'});
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
		expect(runs).to.deep.equal(atStop);
	});

	it('logs how long the event loop was blocked', async () => {
		const blockedMs: number[] = [];
		const handle = gateway.util.runPeriodically([], {
			stepMs: 10,
			now: () => performance.now(),
			log: {
				write(event, fields) {
					if (event === gateway.util.LogEvent.EventLoopBlocked) {
						blockedMs.push((fields as {readonly blockedMs: number}).blockedMs);
					}
				},
			},
		});
		await sleep(30);
		await blocking.blockEventLoop(300);
		await sleep(30);
		handle.stop();
		expect(Math.max(...blockedMs)).to.be.within(250, 1000);
	});

	// Guards against tasks that take an endpoint for silent before what it sent while the event loop was blocked was read.
	it('runs tasks after what arrived while the event loop was blocked was read, and the block was reported', async () => {
		const order: string[] = [];
		const handle = gateway.util.runPeriodically([{
			name: 'task',
			intervalMs: 10,
			run() {
				order.push('task');
			},
		}], {
			stepMs: 10,
			now: () => performance.now(),
			log: {write: () => undefined},
			onBlocked() {
				order.push('blocked');
			},
		});
		const socket = await threadServer.connectToSender(400);
		socket.once('data', () => {
			order.push('data');
		});
		await sleep(50);
		// Runs just before the block.
		setImmediate(() => {
			order.length = 0;
		});
		await blocking.blockEventLoop(800);
		await sleep(50);
		handle.stop();
		const beforeTask = order.slice(0, order.indexOf('task'));
		expect(beforeTask).to.have.members(['blocked', 'data']);
	});
});
