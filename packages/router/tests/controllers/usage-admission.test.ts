import {expect} from 'chai';
import * as core from '@bluebellmast/core';
import * as memoryPeers from './fakes/memory-peers.js';
import * as manualTime from './fakes/manual-time.js';
import * as router from '@bluebellmast/router';

type AdmissionContext = Parameters<router.controllers.UsageAdmission['admit']>[0];

const account: core.model.ClientAccount = {
	id: 'club', keyHashes: [], share: 1, allowed: [], limits: {requestsPerSecond: 10, burst: 3, tokensPerSecond: 1000},
};

function createAdmission() {
	const time = new manualTime.ManualTime();
	const common = {clock: time, timer: time, metrics: manualTime.noMetrics};
	const usage = router.controllers.createUsageController({
		...common,
		self: {vm: 'vm1', incarnation: 'i'},
		peers: new memoryPeers.MemoryLinks().create('vm1'),
		accounts: () => [account],
		members: () => ['vm1'],
	});
	const manifest = {
		endpoints: [{
			id: 'e', service: 'boekhuis', capacity: 1, leaving: false,
		}], models: [],
	} as unknown as core.model.Manifest;
	const admission = router.controllers.createUsageAdmission({
		...common, usage, manifest: () => manifest, countRouters: () => 1,
	});
	let count = 0;
	function createContext(signal?: AbortSignal): AdmissionContext {
		count += 1;
		return {
			id: `r${count}`,
			arrivedAt: time.now(),
			deadlineAt: time.now() + 1000,
			call: {type: 'service', service: 'boekhuis'},
			manifest,
			account,
			kind: {weight: 1, priority: 1, repeatable: false},
			signal,
		} as unknown as AdmissionContext;
	}

	return {time, admission, contextWith: createContext};
}

describe('UsageAdmission', () => {
	it('admits requests up to the capacity, and the next one when an earlier one ends', async () => {
		const {admission, contextWith} = createAdmission();
		const first = await admission.admit(contextWith());
		let isAdmitted = false;
		async function admitSecond(): Promise<void> {
			const admitted = await admission.admit(contextWith());
			isAdmitted = admitted.isRight();
		}

		const second = admitSecond();
		await manualTime.flushPromises();
		expect(isAdmitted).to.equal(false);
		first.unsafeCoerce()();
		await second;
		expect(isAdmitted).to.equal(true);
	});

	it('admits no more than the capacity and the burst of requests that arrive at the same moment', async () => {
		const {admission, contextWith} = createAdmission();
		let running = 0;
		let largestRunning = 0;
		let admitted = 0;
		await Promise.all(Array.from({length: 30}, async () => {
			const result = await admission.admit(contextWith());
			if (result.isLeft()) {
				return;
			}

			admitted += 1;
			running += 1;
			largestRunning = Math.max(largestRunning, running);
			await manualTime.flushPromises();
			running -= 1;
			result.unsafeCoerce()();
		}));
		expect({admitted, largestRunning}).to.deep.equal({admitted: 3, largestRunning: 1});
	});

	it('refuses an account that exceeds its limit with not run and the retry time', async () => {
		const {time, admission, contextWith} = createAdmission();
		for (let index = 0; index < 3; index += 1) {
			const admitted = await admission.admit(contextWith()); // eslint-disable-line no-await-in-loop
			admitted.unsafeCoerce()();
		}

		const refused = await admission.admit(contextWith());
		expect(refused.extract()).to.include({
			code: core.model.ErrorCode.RateLimited, execution: core.model.ExecutionState.NotRun, retryAfterMs: 100,
		});
		time.nowMs += 100;
		const later = await admission.admit(contextWith());
		expect(later.isRight()).to.equal(true);
	});

	it('does not let a request wait whose caller disconnected before, and refunds the request', async () => {
		const {admission, contextWith} = createAdmission();
		const first = await admission.admit(contextWith());
		const aborted = AbortSignal.abort(core.model.ErrorCode.CallerDisconnected);
		const second = await Promise.race([admission.admit(contextWith(aborted)), manualTime.flushPromises()]);
		expect(second?.extract()).to.include({code: core.model.ErrorCode.CallerDisconnected, execution: core.model.ExecutionState.NotRun});
		first.unsafeCoerce()();
		const third = await admission.admit(contextWith());
		third.unsafeCoerce()();
		const fourth = await admission.admit(contextWith());
		expect(fourth.isRight()).to.equal(true);
	});

	it('ends the wait immediately when the caller disconnects, and refunds the request', async () => {
		const {admission, contextWith} = createAdmission();
		const first = await admission.admit(contextWith());
		const abort = new AbortController();
		const second = admission.admit(contextWith(abort.signal));
		abort.abort(core.model.ErrorCode.CallerDisconnected);
		const refusal = await second;
		expect(refusal.extract()).to.include({code: core.model.ErrorCode.CallerDisconnected, execution: core.model.ExecutionState.NotRun});
		first.unsafeCoerce()();
		const third = await admission.admit(contextWith());
		third.unsafeCoerce()();
		const fourth = await admission.admit(contextWith());
		expect(fourth.isRight()).to.equal(true);
	});
});
