import {Buffer} from 'node:buffer';
import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as simulatedOperatorOverrides from '../support/simulated-operator-overrides.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {OperatorAction: actions} = core.quarantine;
const {LogEvent: events} = core.log;
const {operatorOverridesKey, decodeOperatorOverrides, encodeOperatorOverrides} = gateway.controllers;
/** Users' bound on the time until what one VM knows is in force on all. */
const settleWindowMs = 3000;
const warmUpMs = 2500;

async function start(vmCount: number): Promise<simulatedOperatorOverrides.SimulatedOperatorOverrides> {
	const simulation = new simulatedOperatorOverrides.SimulatedOperatorOverrides(vmCount, 1);
	await simulation.advance(warmUpMs);
	return simulation;
}

describe('operators\' overrides on prompt parts', () => {
	for (const vmCount of [7, 66, 195, 420]) {
		it(`are in force on ${vmCount} VMs within the settle window, and after all of them restarted`, async () => {
			const simulation = await start(vmCount);
			simulation.say('m/bad', actions.Add);
			await simulation.advance(settleWindowMs);
			expect(simulation.countRefusing('m/bad')).to.equal(vmCount);
			simulation.restartVms();
			await simulation.advance(settleWindowMs);
			expect(simulation.countRefusing('m/bad')).to.equal(vmCount);
			simulation.say('m/bad', actions.Lift);
			await simulation.advance(settleWindowMs);
			expect(simulation.countRefusing('m/bad')).to.equal(0);
		}).timeout(60_000);
	}

	it('lift parts that evidence quarantines, until there is new evidence', async () => {
		const simulation = await start(7);
		for (const vm of simulation.vms) {
			vm.recordEnds('m/bad');
		}

		expect(simulation.countRefusing('m/bad')).to.equal(7);
		await simulation.advance(500);
		simulation.say('m/bad', actions.Lift);
		await simulation.advance(settleWindowMs);
		expect(simulation.countRefusing('m/bad')).to.equal(0);
		const [vm] = simulation.vms;
		expect(vm!.events.map(({event}) => event)).to.deep.equal([events.PartQuarantined, events.OperatorOverrideAccepted, events.PartReleased]);
		expect(vm!.quarantine.hasPendingEvidence, 'void evidence is not sent').to.equal(false);
		vm!.recordEnds('m/bad');
		expect(vm!.refuses('m/bad')).to.equal(true);
	});

	it('hold a part back whose evidence the store still holds, also on VMs that start later', async () => {
		const simulation = await start(7);
		simulation.vms[0]!.recordEnds('m/bad');
		const {parts, evidence} = simulation.vms[0]!.quarantine.describeQuarantined();
		simulation.store.write(gateway.controllers.quarantineKey, gateway.controllers.encodeStoredEvidence({
			parts, evidence, since: {}, writtenAt: simulation.wallNow,
		}));
		await simulation.advance(settleWindowMs);
		expect(simulation.countRefusing('m/bad')).to.equal(7);
		simulation.say('m/bad', actions.Lift);
		await simulation.advance(settleWindowMs);
		expect(simulation.countRefusing('m/bad')).to.equal(0);
		simulation.restartVms();
		await simulation.advance(settleWindowMs);
		expect(simulation.countRefusing('m/bad')).to.equal(0);
		expect(simulation.vms.flatMap(vm => vm.events.map(({event}) => event)).includes(events.PartQuarantined)).to.equal(false);
	});

	it('hold a part back whose evidence another VM repeats', async () => {
		const simulation = await start(2);
		const [first, second] = simulation.vms;
		first!.recordEnds('m/bad');
		const old = first!.quarantine.takeDigest()!;
		await simulation.advance(1000);
		simulation.say('m/bad', actions.Lift);
		await simulation.advance(settleWindowMs);
		second!.quarantine.applyDigest({...old, crashes: old.crashes.map(row => ({...row, ageMs: row.ageMs + 4000}))});
		expect(second!.refuses('m/bad')).to.equal(false);
	});

	it('end by their time, with a log line', async () => {
		const simulation = await start(7);
		simulation.say('m/bad', actions.Add, 120_000);
		await simulation.advance(119_000);
		expect(simulation.countRefusing('m/bad')).to.equal(7);
		await simulation.advance(2000);
		expect(simulation.countRefusing('m/bad')).to.equal(0);
		expect(simulation.vms[0]!.events.map(({event}) => event)).to.deep.equal([events.OperatorOverrideAccepted, events.OperatorOverrideEnded]);
		simulation.restartVms();
		await simulation.advance(settleWindowMs);
		expect(simulation.countRefusing('m/bad')).to.equal(0);
	}).timeout(10_000);

	it('stay in force while the store is away and when it returns from a copy without them', async () => {
		const simulation = await start(7);
		simulation.say('m/bad', actions.Add);
		await simulation.advance(settleWindowMs);
		simulation.store.returnFromCopy(5000, 2000, () => undefined);
		await simulation.advance(1000);
		expect(simulation.countRefusing('m/bad')).to.equal(7);
		await simulation.advance(1000 + settleWindowMs);
		expect(simulation.store.items.has(operatorOverridesKey)).to.equal(false);
		expect(simulation.countRefusing('m/bad')).to.equal(7);
	});

	it('are not revived by a copy after they were lifted', async () => {
		const simulation = await start(7);
		simulation.say('m/bad', actions.Add);
		await simulation.advance(3000);
		simulation.say('m/bad', actions.Lift);
		await simulation.advance(2000);
		simulation.store.returnFromCopy(3000, 500, () => undefined);
		await simulation.advance(500 + settleWindowMs);
		expect(decodeOperatorOverrides(simulation.store.items.get(operatorOverridesKey)!.value).unsafeCoerce()[0]!.action).to.equal(actions.Add);
		expect(simulation.countRefusing('m/bad')).to.equal(0);
	});

	it('reach a VM that was cut off once it is in touch again', async () => {
		const simulation = await start(7);
		simulation.vms[0]!.link.isCut = true;
		simulation.say('m/bad', actions.Add);
		await simulation.advance(settleWindowMs);
		expect(simulation.countRefusing('m/bad')).to.equal(6);
		simulation.vms[0]!.link.isCut = false;
		await simulation.advance(settleWindowMs);
		expect(simulation.countRefusing('m/bad')).to.equal(7);
	});

	it('stay in force when a value replaces them that can\'t be read, which is logged', async () => {
		const simulation = await start(7);
		simulation.say('m/bad', actions.Add);
		await simulation.advance(settleWindowMs);
		simulation.store.write(operatorOverridesKey, Buffer.from('{"overrides":[{}]}'));
		await simulation.advance(settleWindowMs);
		expect(simulation.countRefusing('m/bad')).to.equal(7);
		const {event, fields} = simulation.vms[0]!.events.at(-1)!;
		expect(event).to.equal(events.StoreEntryInvalid);
		expect(fields.findings).to.match(/overrides\.0\.part .*overrides\.0\.action .*overrides\.0\.reason/);
	});
});

describe('codec of operators\' overrides', () => {
	const override: core.quarantine.OperatorOverride = {
		part: 'm/bad', action: actions.Add, at: 1, until: 2, by: 'alice', reason: 'crashes engines',
	};

	it('decodes what it encodes', () => {
		expect(decodeOperatorOverrides(encodeOperatorOverrides([override])).unsafeCoerce()).to.deep.equal([override]);
	});

	const invalid = [
		{name: 'no JSON', text: '{', findings: 1},
		{name: 'null', text: 'null', findings: 1},
		{name: 'no list', text: '{"overrides":{}}', findings: 1},
		{name: 'too many overrides', text: JSON.stringify({overrides: Array.from({length: core.quarantine.maxOperatorOverrides + 1}, () => override)}), findings: 1},
		{name: 'an override that is null', text: '{"overrides":[null]}', findings: 6},
		{name: 'invalid fields of two overrides', text: JSON.stringify({overrides: [{...override, part: ' '}, {...override, at: 'now', reason: '\u0007'}]}), findings: 3},
		{
			name: 'texts that are too long', text: JSON.stringify({
				overrides: [{
					...override, part: 'a'.repeat(65), by: 'a'.repeat(41), reason: 'a'.repeat(121),
				}],
			}), findings: 3,
		},
	];
	for (const {name, text, findings} of invalid) {
		it(`returns all findings for ${name}`, () => {
			expect(decodeOperatorOverrides(Buffer.from(text)).swap().unsafeCoerce()).to.have.lengthOf(findings);
		});
	}
});
