import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const {manifest} = core;
const now = 100_000;
const fresh = now - 1000;
const old = now - 3001;

type Answer = {readonly generation: number; readonly at: number};
type Case = {
	readonly name: string;
	readonly basis: string;
	readonly kv?: Answer;
	readonly peers?: Readonly<Record<string, Answer>>;
	readonly listed?: readonly string[];
	readonly generation?: number;
	readonly newerSince?: number;
};

const three = ['a', 'b', 'c'];
const cases: readonly Case[] = [
	{name: 'fresh read', basis: 'kv', kv: {generation: 4, at: fresh}},
	{name: 'fresh read of an older generation', basis: 'kv', kv: {generation: 3, at: fresh}},
	{name: 'fresh read of a newer generation', basis: 'none', kv: {generation: 5, at: fresh}},
	{name: 'old read', basis: 'none', kv: {generation: 4, at: old}},
	{name: 'majority of three', basis: 'majority', peers: {b: {generation: 4, at: fresh}}},
	{name: 'answer that is too old', basis: 'none', peers: {b: {generation: 4, at: old}}},
	{name: 'peer that knows of a newer generation', basis: 'none', peers: {b: {generation: 5, at: fresh}}},
	{name: 'answer of a VM that is not listed', basis: 'none', peers: {z: {generation: 4, at: fresh}}},
	{
		name: 'half of four', basis: 'none', listed: [...three, 'd'], peers: {b: {generation: 4, at: fresh}},
	},
	{name: 'lone VM', basis: 'majority', listed: []},
	{
		name: 'no manifest', basis: 'none', generation: 0, kv: {generation: 0, at: fresh},
	},
	{
		name: 'newer head whose sections do not come', basis: 'none', newerSince: old, kv: {generation: 4, at: fresh},
	},
	{
		name: 'newer head just seen', basis: 'kv', newerSince: fresh, kv: {generation: 4, at: fresh},
	},
];

describe('confirmationBasis', () => {
	for (const item of cases) {
		it(`${item.name}: ${item.basis}`, () => {
			let state = manifest.initialConfirmationState;
			state = item.kv ? manifest.recordKvRead(state, item.kv) : state;
			for (const [vm, answer] of Object.entries(item.peers ?? {})) {
				state = manifest.recordPeerAnswer(state, vm, answer);
			}

			const basis = manifest.decideConfirmationBasis(state, {
				self: 'a',
				listedVms: item.listed ?? three,
				generation: item.generation === 0 ? undefined : 4,
				newerSince: item.newerSince,
				confirmTimeoutMs: 3000,
			}, now);
			expect(basis).to.equal(item.basis);
		});
	}

	it('goes on by the read before while a newer generation has just been read', () => {
		let state = manifest.recordKvRead(manifest.initialConfirmationState, {generation: 4, at: fresh});
		state = manifest.recordKvRead(state, {generation: 5, at: now});
		const query = {
			self: 'a', listedVms: three, generation: 4, newerSince: now, confirmTimeoutMs: 3000,
		};
		expect(manifest.decideConfirmationBasis(state, query, now)).to.equal('kv');
		expect(manifest.decideConfirmationBasis(state, query, now + 3001)).to.equal('none');
		expect(manifest.recordKvRead(state, {generation: 4, at: now + 1})).to.equal(state);
	});

	it('is not moved back by answers that come late', () => {
		const late = {generation: 4, at: old};
		const kv = manifest.recordKvRead(manifest.recordKvRead(manifest.initialConfirmationState, {generation: 4, at: fresh}), late);
		expect(kv.kv?.at).to.equal(fresh);
		const peer = manifest.recordPeerAnswer(manifest.recordPeerAnswer(manifest.initialConfirmationState, 'b', {generation: 4, at: fresh}), 'b', late);
		expect(peer.peers.get('b')?.at).to.equal(fresh);
	});
});
