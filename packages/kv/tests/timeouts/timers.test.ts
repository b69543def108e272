import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as blocking from '../support/blocking.js';
import * as threadServer from '../support/thread-server.js';
import * as clients from '@bluebellmast/kv';

const {expect} = chai;

// Guards against decisions that nothing has arrived, made before what had arrived while the event loop was blocked was read.
describe('timers beside a blocked event loop', () => {
	for (const timerClass of [clients.timeouts.InputTimer, clients.timeouts.SilenceTimer]) {
		const {name} = timerClass;
		const create = (ms: number, onEnd: () => void): InstanceType<typeof timerClass> => Reflect.construct(timerClass, [ms, onEnd]) as InstanceType<typeof timerClass>;

		it(`${name} does not call back if it is cleared by input that arrived meanwhile`, async () => {
			const socket = await threadServer.connectToSender(200);
			let endCount = 0;
			const timer = create(300, () => {
				endCount += 1;
			});
			socket.once('data', () => {
				timer.clear();
			});
			await blocking.blockEventLoop(600);
			await sleep(700);
			expect(endCount).to.equal(0);
		});

		it(`${name} does not call back before its time if it was refreshed by input that arrived meanwhile`, async () => {
			const socket = await threadServer.connectToSender(200);
			let endedAt = 0;
			let refreshedAt = 0;
			const timer = create(300, () => {
				endedAt = performance.now();
			});
			socket.once('data', () => {
				refreshedAt = performance.now();
				timer.refresh();
			});
			await blocking.blockEventLoop(600);
			await sleep(800);
			timer.clear();
			expect(endedAt - refreshedAt).to.be.greaterThan(298);
		});

		it(`${name} calls back if nothing arrived`, async () => {
			let endCount = 0;
			create(100, () => {
				endCount += 1;
			});
			await blocking.blockEventLoop(150);
			await sleep(500);
			expect(endCount).to.equal(1);
		});

		it(`${name} does not call back at once if its time is infinite`, async () => {
			let endCount = 0;
			const timer = create(Infinity, () => {
				endCount += 1;
			});
			await sleep(50);
			timer.clear();
			expect(endCount).to.equal(0);
		});
	}

	it('InputTimer does not call back if it is cleared by input that arrived while the event loop was blocked after its time', async () => {
		const socket = await threadServer.connectToSender(300);
		let endCount = 0;
		setTimeout(() => {
			void blocking.blockEventLoop(600);
		}, 100);
		const timer = new clients.timeouts.InputTimer(100, () => {
			endCount += 1;
		});
		socket.once('data', () => {
			timer.clear();
		});
		await sleep(1000);
		expect(endCount).to.equal(0);
	});

	it('waitForInput waits for input that arrived while the event loop was blocked after its start', async () => {
		const socket = await threadServer.connectToSender(300);
		let hasArrived = false;
		socket.once('data', () => {
			hasArrived = true;
		});
		await sleep(100);
		const blocked = blocking.blockEventLoop(600);
		await clients.timeouts.waitForInput();
		expect(hasArrived).to.equal(true);
		await blocked;
	});

	it('SilenceTimer adds the time for which the event loop was blocked, at most its own', async () => {
		const startedAt = performance.now();
		const ended = new Promise<number>(resolve => {
			new clients.timeouts.SilenceTimer(100, () => { // eslint-disable-line no-new -- The timer runs by itself.
				resolve(performance.now() - startedAt);
			});
		});
		await blocking.blockEventLoop(600);
		const endedAfterMs = await ended;
		expect(endedAfterMs).to.be.greaterThan(698);
	});

	// Guards against the silence of another process that was sent its request only after the event loop was blocked.
	it('SilenceTimer adds the time for which the event loop was blocked in the middle of the wait', async () => {
		const startedAt = performance.now();
		const ended = new Promise<number>(resolve => {
			new clients.timeouts.SilenceTimer(500, () => { // eslint-disable-line no-new -- The timer runs by itself.
				resolve(performance.now() - startedAt);
			});
		});
		await blocking.blockEventLoop(400);
		const endedAfterMs = await ended;
		expect(endedAfterMs).to.be.within(800, 1200);
	});

	it('SilenceTimer ends in a bounded time if the event loop is blocked again and again', async () => {
		const startedAt = performance.now();
		const ended = new Promise<number>(resolve => {
			new clients.timeouts.SilenceTimer(500, () => { // eslint-disable-line no-new -- The timer runs by itself.
				resolve(performance.now() - startedAt);
			});
		});
		for (let count = 0; count < 20; count++) {
			await blocking.blockEventLoop(150); // eslint-disable-line no-await-in-loop -- Blocks follow one another.
			await sleep(5); // eslint-disable-line no-await-in-loop -- Blocks follow one another.
		}

		expect(await ended).to.be.lessThan(2800);
	}).timeout(10_000);

	it('CallDeadline does not abort a call whose response arrived meanwhile', async () => {
		const socket = await threadServer.connectToSender(200);
		const deadline = new clients.timeouts.CallDeadline(300);
		socket.once('data', () => {
			deadline.clear();
		});
		await blocking.blockEventLoop(600);
		await sleep(700);
		expect(deadline.signal.aborted).to.equal(false);
	});

	it('InputInterval calls back after the input that arrived meanwhile', async () => {
		const socket = await threadServer.connectToSender(200);
		let hasArrived = false;
		socket.once('data', () => {
			hasArrived = true;
		});
		const seen: boolean[] = [];
		const interval = new clients.timeouts.InputInterval(300, () => {
			seen.push(hasArrived);
		});
		await blocking.blockEventLoop(600);
		await sleep(400);
		interval.clear();
		expect(seen[0]).to.equal(true);
	});

	it('InputInterval does not call back after it was cleared', async () => {
		let callCount = 0;
		const interval = new clients.timeouts.InputInterval(50, () => {
			callCount += 1;
		});
		setTimeout(() => {
			interval.clear();
		}, 60);
		await blocking.blockEventLoop(150);
		await sleep(200);
		expect(callCount).to.equal(0);
	});
});
