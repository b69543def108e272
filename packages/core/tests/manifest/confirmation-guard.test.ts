import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const {manifest} = core;
const now = 100_000;
const recentAt = now - 1000;
const expiredAt = now - 3001;

type Confirmation = {readonly generation: number; readonly at: number};
type Case = {
	readonly name: string;
	readonly basis: string;
	readonly kv?: Confirmation;
	readonly peers?: Readonly<Record<string, Confirmation>>;
	readonly listed?: readonly string[];
	readonly generation?: number;
	readonly newerSince?: number;
};

const threeVms = ['a', 'b', 'c'];
const cases: readonly Case[] = [
	{name: 'a recent read of the same generation', basis: 'kv', kv: {generation: 4, at: recentAt}},
	{name: 'a recent read of an older generation', basis: 'kv', kv: {generation: 3, at: recentAt}},
	{name: 'a recent read of a newer generation', basis: 'none', kv: {generation: 5, at: recentAt}},
	{name: 'a read older than the timeout', basis: 'none', kv: {generation: 4, at: expiredAt}},
	{name: 'recent confirmations from two of three VMs', basis: 'majority', peers: {b: {generation: 4, at: recentAt}}},
	{name: 'a confirmation older than the timeout', basis: 'none', peers: {b: {generation: 4, at: expiredAt}}},
	{name: 'a confirmation from a peer that knows a newer generation', basis: 'none', peers: {b: {generation: 5, at: recentAt}}},
	{name: 'a confirmation from a VM that is not listed', basis: 'none', peers: {z: {generation: 4, at: recentAt}}},
	{
		name: 'recent confirmations from two of four VMs', basis: 'none', listed: [...threeVms, 'd'], peers: {b: {generation: 4, at: recentAt}},
	},
	{name: 'an empty VM list', basis: 'majority', listed: []},
	{
		name: 'a recent read without an active manifest', basis: 'none', generation: 0, kv: {generation: 0, at: recentAt},
	},
	{
		name: 'a newer generation known for longer than the timeout', basis: 'none', newerSince: expiredAt, kv: {generation: 4, at: recentAt},
	},
	{
		name: 'a newer generation known for less than the timeout', basis: 'kv', newerSince: recentAt, kv: {generation: 4, at: recentAt},
	},
];

describe('decideConfirmationBasis', () => {
	for (const item of cases) {
		it(`returns '${item.basis}' for ${item.name}`, () => {
			let state = manifest.initialConfirmationState;
			state = item.kv ? manifest.recordKvRead(state, item.kv) : state;
			for (const [vm, confirmation] of Object.entries(item.peers ?? {})) {
				state = manifest.recordPeerConfirmation(state, vm, confirmation);
			}

			const basis = manifest.decideConfirmationBasis(state, {
				self: 'a',
				listedVms: item.listed ?? threeVms,
				generation: item.generation === 0 ? undefined : 4,
				newerSince: item.newerSince,
				confirmTimeoutMs: 3000,
			}, now);
			expect(basis).to.equal(item.basis);
		});
	}

	it('keeps confirming by the previous read until the timeout after a newer generation is read', () => {
		let state = manifest.recordKvRead(manifest.initialConfirmationState, {generation: 4, at: recentAt});
		state = manifest.recordKvRead(state, {generation: 5, at: now});
		const query = {
			self: 'a', listedVms: threeVms, generation: 4, newerSince: now, confirmTimeoutMs: 3000,
		};
		expect(manifest.decideConfirmationBasis(state, query, now)).to.equal('kv');
		expect(manifest.decideConfirmationBasis(state, query, now + 3001)).to.equal('none');
		expect(manifest.recordKvRead(state, {generation: 4, at: now + 1})).to.equal(state);
	});

	it('ignores reads and confirmations older than the latest one', () => {
		const late = {generation: 4, at: expiredAt};
		const kv = manifest.recordKvRead(manifest.recordKvRead(manifest.initialConfirmationState, {generation: 4, at: recentAt}), late);
		expect(kv.kv?.at).to.equal(recentAt);
		const peer = manifest.recordPeerConfirmation(manifest.recordPeerConfirmation(manifest.initialConfirmationState, 'b', {generation: 4, at: recentAt}), 'b', late);
		expect(peer.peers.get('b')?.at).to.equal(recentAt);
	});
});
