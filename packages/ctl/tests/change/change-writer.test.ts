import * as chai from 'chai';
import * as config from '@bluebellmast/config';
import type * as core from '@bluebellmast/core';
import * as fc from 'fast-check';
import * as memoryKv from '../../../router/tests/controllers/fakes/memory-kv.js';
import * as faultyKv from '../fakes/faulty-kv.js';
import * as ctl from '@bluebellmast/ctl';

const {expect} = chai;
const {KvFault} = faultyKv; // eslint-disable-line @typescript-eslint/naming-convention
const batches = ['model:chat@1', 'model:chat@2'];

enum Verb {
	Apply = 'apply',
	Recall = 'recall',
	Reinstate = 'reinstate',
}

type Operation = {readonly verb: Verb; readonly batch: number};

/** An in-memory key-value service that records each head that is written. */
class RecordingKv extends memoryKv.MemoryKv {
	readonly heads: core.manifest.ManifestHead[] = [];

	override put(key: string, value: Uint8Array): number {
		if (key === config.manifest.headKey) {
			this.heads.push(config.manifest.decodeHead(value).unsafeCoerce());
		}

		return super.put(key, value);
	}
}

function createContent(versions: readonly string[]): config.manifest.ManifestContent {
	return {
		models: [{
			id: 'chat', service: 'pool', versions, defaultKind: 'question', supportsForcedPrefix: false,
		}],
		adapters: [],
		accounts: [],
		kinds: [],
		services: [],
		endpoints: [],
	};
}

/** Creates a change as the commands do: an apply or reinstatement is based on the first head that is read. */
function createChange({verb, batch}: Operation, changeId: string): ctl.change.Change {
	let madeFrom: number | undefined;
	return {
		changeId,
		rebasesOnConflict: verb === Verb.Recall,
		propose(head) {
			if (verb === Verb.Recall) {
				return config.manifest.proposeRecall(head, [batches[batch]!], changeId);
			}

			madeFrom ??= head?.generation ?? 0;
			return verb === Verb.Apply
				? config.manifest.proposeApply(head, createContent([changeId]), {changeId, madeFrom})
				: config.manifest.proposeReinstate(head, [batches[batch]!], {changeId, madeFrom});
		},
	};
}

function expectValidHistory(heads: readonly core.manifest.ManifestHead[], operations: ReadonlyMap<string, Operation>): void {
	for (const [index, head] of heads.entries()) {
		expect(head.generation).to.equal(index + 1);
		expect(head.madeFrom).to.equal(index);
		const operation = operations.get(head.changeId);
		const before = index === 0 ? [] : heads[index - 1]!.recalled;
		const lost = before.filter(batch => !head.recalled.includes(batch));
		expect(lost).to.deep.equal(operation?.verb === Verb.Reinstate ? [batches[operation.batch]] : []);
		if (operation?.verb === Verb.Recall) {
			expect(head.recalled).to.include(batches[operation.batch]);
		}
	}

	expect(new Set(heads.map(head => head.changeId)).size).to.equal(heads.length);
}

describe('ChangeWriter', () => {
	const fault = fc.oneof({arbitrary: fc.constant(KvFault.None), weight: 3}, {arbitrary: fc.constantFrom(...Object.values(KvFault)), weight: 2});
	const operation = fc.record({verb: fc.constantFrom(...Object.values(Verb)), batch: fc.nat(1)});

	it('loses no recall, increases generations by one and reports the true result for any interleaving and any lost calls', async () => {
		const seen = new Set<string>();
		await fc.assert(fc.asyncProperty(
			fc.scheduler(),
			fc.array(fc.array(operation, {minLength: 1, maxLength: 3}), {minLength: 2, maxLength: 4}),
			fc.infiniteStream(fault),
			async (scheduler, operators, faults) => {
				const store = new RecordingKv();
				const operations = new Map<string, Operation>();
				const results = new Map<string, ctl.change.SubmitResult>();
				const plan: faultyKv.FaultPlan = {
					nextFault: () => faults.next().value as faultyKv.KvFault,
					async waitForTurn(label) {
						await scheduler.schedule(Promise.resolve(), label);
					},
				};
				const kv = new faultyKv.FaultyKvClient(store, plan);
				const operate = async (list: readonly Operation[], operator: number) => {
					for (const [index, item] of list.entries()) {
						const changeId = `${operator}-${index}`;
						operations.set(changeId, item);
						const writer = new ctl.change.ChangeWriter({kv, sleep: async () => plan.waitForTurn('sleep')}, createChange(item, changeId));
						results.set(changeId, await writer.submit()); // eslint-disable-line no-await-in-loop
					}
				};

				await scheduler.waitFor(Promise.all(operators.map(async (list, operator) => operate(list, operator))));
				await scheduler.waitFor(kv.close());
				expectValidHistory(store.heads, operations);
				for (const [changeId, {type, generation}] of results) {
					seen.add(type);
					const accepted = store.heads.find(head => head.changeId === changeId);
					if (type === ctl.change.SubmitResultType.Accepted) {
						expect(accepted?.generation).to.equal(generation);
					} else if (type !== ctl.change.SubmitResultType.Unknown) {
						expect(accepted).to.equal(undefined);
					}
				}
			},
		), {numRuns: 500, seed: 20_261_203});
		expect([...seen].sort()).to.deep.equal(Object.values(ctl.change.SubmitResultType).sort());
	});
});
