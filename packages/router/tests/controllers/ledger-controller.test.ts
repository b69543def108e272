import {expect} from 'chai';
import * as core from '@bluebellmast/core';
import * as memoryKv from './fakes/memory-kv.js';
import * as memoryPeers from './fakes/memory-peers.js';
import * as manualTime from './fakes/manual-time.js';
import * as router from '@bluebellmast/router';

const {BeginVerdictType: verdictType} = router.controllers;
const {ErrorCode: errorCode, ExecutionState: executionState} = core.model;
const recordedResponse = {status: 201, contentType: 'text/plain', body: new TextEncoder().encode('pitch 4')};

class Fleet {
	readonly time = new manualTime.ManualTime();
	readonly kv = new memoryKv.MemoryKv();
	readonly links = new memoryPeers.MemoryLinks();
	readonly members = ['vm1', 'vm2', 'vm3'].map(vm => ({vm, incarnation: `${vm}-1`}));
	readonly clients = this.members.map(() => new memoryKv.MemoryKvClient(this.kv));
	readonly ledgers: router.controllers.LedgerFacade[] = [];
	readonly controllers: router.controllers.LedgerController[] = [];
	readonly issuers: router.controllers.IssuedKeyController[] = [];
	#attempts = 0;

	async start(): Promise<this> {
		for (const [index, self] of this.members.entries()) {
			const {time} = this;
			const common = {
				self, metrics: manualTime.noMetrics, clock: time, timer: time,
			};
			const controller = router.controllers.createLedgerController({
				...common, kv: this.clients[index]!, peers: this.links.create(self.vm),
			});
			const issuer = router.controllers.createIssuedKeyController(common);
			const ledger = new router.controllers.LedgerFacade(controller, issuer);
			ledger.setMembers(this.members);
			this.controllers.push(controller);
			this.issuers.push(issuer);
			this.ledgers.push(ledger);
			await controller.start(); // eslint-disable-line no-await-in-loop
		}

		return this;
	}

	async begin(index: number, key: string, digest = 'd', deadlineMs = 5000) {
		this.#attempts += 1;
		const attempt = `a${this.#attempts}`;
		const verdict = this.ledgers[index]!.begin({
			account: 'club', key, digest, attempt, deadlineAt: this.time.now() + deadlineMs,
		});
		await this.time.advance(2000);
		return {attempt, verdict: await verdict};
	}

	async getVerdict(index: number, key: string) {
		const {verdict} = await this.begin(index, key);
		return verdict;
	}

	async run(index: number, key: string) {
		const begun = await this.begin(index, key);
		expect(begun.verdict.type).to.equal(verdictType.Proceed);
		expect(this.ledgers[index]!.claimSend(begun.attempt)).to.equal(true);
		this.ledgers[index]!.settle(begun.attempt, core.ledger.AttemptResult.ResponseComplete, recordedResponse);
		await this.time.advance(2000);
	}
}

function getRefusal(verdict: router.controllers.BeginVerdict): core.model.Refusal | undefined {
	return verdict.type === verdictType.Refuse ? verdict.refusal : undefined;
}

describe('LedgerController', () => {
	it('runs a key once and replays its response at every router', async () => {
		const fleet = await new Fleet().start();
		await fleet.run(0, 'k');
		for (const index of [0, 1, 2]) {
			const {verdict} = await fleet.begin(index, 'k'); // eslint-disable-line no-await-in-loop
			expect(verdict).to.deep.equal({type: verdictType.Replay, outcome: recordedResponse});
		}

		const {verdict} = await fleet.begin(1, 'k', 'other');
		expect(getRefusal(verdict)?.code).to.equal(errorCode.IdempotencyKeyReused);
	});

	it('grants the permission to send once, and not before the intent is recorded', async () => {
		const fleet = await new Fleet().start();
		expect(fleet.ledgers[0]!.claimSend('a1')).to.equal(false);
		const {attempt} = await fleet.begin(0, 'k');
		expect(fleet.ledgers[0]!.claimSend(attempt)).to.equal(true);
		expect(fleet.ledgers[0]!.claimSend(attempt)).to.equal(false);
	});

	it('denies the permission to send after a pause longer than the send window', async () => {
		const fleet = await new Fleet().start();
		const {attempt} = await fleet.begin(0, 'k');
		fleet.time.nowMs += core.ledger.createLedgerOptions().sendWindowMs;
		expect(fleet.ledgers[0]!.claimSend(attempt)).to.equal(false);
	});

	it('proceeds after a write whose response was lost', async () => {
		const fleet = await new Fleet().start();
		fleet.kv.losesNextResponse = true;
		const {verdict} = await fleet.begin(0, 'k');
		expect(verdict.type).to.equal(verdictType.Proceed);
		expect(fleet.kv.losesNextResponse).to.equal(false);
	});

	it('commits an intent itself when the shard writer does not answer or is disconnected', async () => {
		const fleet = await new Fleet().start();
		fleet.links.shouldDrop = () => true;
		for (const key of ['k1', 'k2', 'k3', 'k4']) {
			expect(await fleet.getVerdict(0, key)).to.include({type: verdictType.Proceed}); // eslint-disable-line no-await-in-loop
		}

		fleet.links.disconnected.add('vm1');
		for (const key of ['k5', 'k6', 'k7', 'k8']) {
			expect(await fleet.getVerdict(0, key)).to.include({type: verdictType.Proceed}); // eslint-disable-line no-await-in-loop
		}
	});

	it('refuses with not run and a retry time while the key-value service is unavailable, and releases the key', async () => {
		const fleet = await new Fleet().start();
		for (const client of fleet.clients) {
			client.down = true;
		}

		const {attempt, verdict} = await fleet.begin(0, 'k');
		expect(getRefusal(verdict)).to.include({code: errorCode.LedgerUnavailable, execution: executionState.NotRun});
		expect(getRefusal(verdict)?.retryAfterMs).to.be.above(0);
		expect(fleet.ledgers[0]!.claimSend(attempt)).to.equal(false);
		for (const client of fleet.clients) {
			client.down = false;
		}

		await fleet.time.advance(5000);
		await fleet.run(1, 'k');
	});

	it('replays a recorded response that the shard writer knows while the key-value service is unavailable', async () => {
		const fleet = await new Fleet().start();
		await fleet.run(0, 'k');
		await fleet.getVerdict(1, 'k');
		fleet.links.shouldDrop = () => true;
		for (const client of fleet.clients) {
			client.down = true;
		}

		const shard = core.ledger.getShardIndex('club', 'k', core.ledger.createLedgerOptions().shardCount);
		const writer = fleet.members.findIndex(({vm}) => vm === core.ledger.selectShardWriter(shard, ['vm1', 'vm2', 'vm3']));
		expect(await fleet.getVerdict(writer, 'k')).to.include({type: verdictType.Replay});
		const reused = await fleet.begin(writer, 'k', 'other');
		expect(getRefusal(reused.verdict)?.code).to.equal(errorCode.IdempotencyKeyReused);
	});

	it('refuses the key of an unsettled attempt as outcome unknown after its router is gone', async () => {
		const fleet = await new Fleet().start();
		const {attempt} = await fleet.begin(0, 'k');
		fleet.ledgers[0]!.claimSend(attempt);
		expect(getRefusal(await fleet.getVerdict(1, 'k'))?.code).to.equal(errorCode.InProgress);
		fleet.ledgers[1]!.setMembers(fleet.members.slice(1));
		fleet.ledgers[2]!.setMembers(fleet.members.slice(1));
		const refusal = getRefusal(await fleet.getVerdict(1, 'k'));
		expect(refusal).to.include({code: errorCode.OutcomeUnknown, execution: executionState.Unknown});
	});

	it('records settlements before a graceful shutdown ends', async () => {
		const fleet = await new Fleet().start();
		const {attempt} = await fleet.begin(0, 'k');
		fleet.ledgers[0]!.claimSend(attempt);
		fleet.ledgers[0]!.settle(attempt, core.ledger.AttemptResult.ResponseComplete, recordedResponse);
		const stopped = fleet.controllers[0]!.stop();
		await fleet.time.advance(2000);
		await stopped;
		expect(await fleet.getVerdict(1, 'k')).to.include({type: verdictType.Replay});
	});

	it('decodes a malformed stored value to an error, not to an empty shard', () => {
		expect(router.controllers.decodeShard(new TextEncoder().encode('{}')).isLeft()).to.equal(true);
		const shard = core.ledger.createShard([]);
		expect(router.controllers.decodeShard(router.controllers.encodeShard(shard)).extract()).to.deep.equal(shard);
	});

	it('encodes a shard in at most 64 bytes more than its computed size', () => {
		const entries = Array.from({length: 200}, (_, index) => ({
			account: 'clüb', key: `k${index}`, digest: 'd', vm: 'v', incarnation: 'i', attempt: `a${index}`, at: 1_700_000_000_000.5,
			state: core.ledger.EntryState.Withdrawn, outcome: {...recordedResponse, body: new Uint8Array(index)},
		}));
		const shard = core.ledger.createShard(entries);
		expect(router.controllers.encodeShard(shard).length).to.be.at.most(shard.bytes + 64);
	});
});

describe('IssuedKeyController', () => {
	it('decides on issued keys without the key-value service, and only at the router that issued the key', async () => {
		const fleet = await new Fleet().start();
		for (const client of fleet.clients) {
			client.down = true;
		}

		const {key} = fleet.issuers[0]!.issue('club');
		const elsewhere = await fleet.begin(1, key);
		expect(elsewhere.verdict).to.deep.equal({type: verdictType.Forward, to: 'vm1', incarnation: 'vm1-1'});
		await fleet.run(0, key);
		expect(await fleet.getVerdict(0, key)).to.deep.equal({type: verdictType.Replay, outcome: recordedResponse});
		fleet.ledgers[1]!.setMembers(fleet.members.slice(1));
		expect(getRefusal(await fleet.getVerdict(1, key))?.execution).to.equal(executionState.Unknown);
		expect(fleet.clients.map(client => client.reads)).to.deep.equal([0, 0, 0]);
	});
});

describe('LedgerIdempotencyStore', () => {
	it('releases the key of a request that was not executed and keeps that of one that may have been', async () => {
		const fleet = await new Fleet().start();
		const store = new router.controllers.LedgerIdempotencyStore(fleet.ledgers[0]!);
		async function begin(attempt: string) {
			const intent = {
				account: 'club', key: 'k', digest: 'd', attempt, deadlineAt: fleet.time.now() + 5000,
			};
			const verdict = store.begin(intent);
			await fleet.time.advance(2000);
			return {intent, verdict: await verdict};
		}

		const first = await begin('a1');
		expect(first.verdict.isRight()).to.equal(true);
		store.finish(first.intent, {execution: executionState.NotRun});
		const second = await begin('a2');
		expect(second.verdict.isRight()).to.equal(true);
		store.finish(second.intent, {execution: executionState.Unknown});
		const third = await begin('a3');
		expect((third.verdict.extract() as core.model.Refusal).code).to.equal(errorCode.OutcomeUnknown);
	});
});
