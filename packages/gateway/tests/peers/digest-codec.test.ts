import * as core from '@bluebellmast/core';
import * as cbor from 'cbor-x';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const withoutPauses: core.fleet.LoadDigest = {
	vm: 'vm-1',
	sequence: 7,
	endpoints: [{
		endpoint: 'a', active: 2, prefillTokens: 300, sinceLastReceivedMs: 20,
	}],
	cacheObservations: [],
};
const digest: core.fleet.LoadDigest = {
	...withoutPauses,
	pauses: [{endpoint: 'b', bornAt: 1_796_370_137_105, remainingMs: 4500}],
};
const olderRows = ['vm-1', 7, [['a', 2, 300, 20]], []];

const plainDigest: core.fleet.LoadDigest = {
	vm: 'vm-1',
	sequence: 7,
	endpoints: [{
		endpoint: 'a', active: 2, prefillTokens: 500, sinceLastReceivedMs: 12,
	}],
	cacheObservations: [{type: core.fleet.CacheObservationType.Stored, key: 'n/1', endpoint: 'a'}],
};
const leavingEndpoints = [{id: 'a', bornAt: 1_790_000_000_000}, {id: 'b', bornAt: 0}];

describe('digests', () => {
	it('tell the pauses that endpoints asked the VM for', () => {
		expect(gateway.peers.decodeDigest(gateway.peers.encodeDigest(digest))).to.deep.equal(digest);
	});

	it('contain the limits that endpoints state, and their ends', () => {
		const limits = [
			{
				endpoint: 'b', bornAt: 3, requestsPerSecond: 4.3, ageMs: 120,
			},
			{
				endpoint: 'c', bornAt: 4, requestsPerSecond: 0, ageMs: 0,
			},
		];
		expect(gateway.peers.decodeDigest(gateway.peers.encodeDigest({...withoutPauses, limits}))).to.deep.equal({...withoutPauses, limits});
	});

	it('contain the number of the process, unless it is none', () => {
		expect(gateway.peers.decodeDigest(gateway.peers.encodeDigest({...withoutPauses, process: 5}))).to.deep.equal({...withoutPauses, process: 5});
		expect(gateway.peers.decodeDigest(cbor.encode([...olderRows, {process: 'five'}]))).to.deep.equal(withoutPauses);
	});

	it('contain the ages of versions of weights', () => {
		const versionAges = [{model: 'm', version: 2, ageMs: 1300}, {model: 'n', version: 7, ageMs: 0}];
		expect(gateway.peers.decodeDigest(gateway.peers.encodeDigest({...withoutPauses, versionAges}))).to.deep.equal({...withoutPauses, versionAges});
	});

	it('with invalid ages of versions are accepted without them', () => {
		const versions = [['m', 2, -1], ['m', 2.5, 1], ['m', 2, Number.NaN], ['m', 2, Infinity]];
		for (const extension of [{versions}, {versions: [['m', '2', 1]]}, {versions: 5}]) {
			expect(gateway.peers.decodeDigest(cbor.encode([...olderRows, extension]))).to.deep.equal(withoutPauses);
		}
	});

	it('are readable for older builds, which read the first four elements', () => {
		const message = cbor.decode(gateway.peers.encodeDigest(digest)) as unknown[];
		expect(message.slice(0, 4)).to.deep.equal(olderRows);
	});

	it('have the form of older builds while there is no pause', () => {
		const message: unknown = cbor.decode(gateway.peers.encodeDigest({...withoutPauses, pauses: []}));
		expect(message).to.deep.equal(olderRows);
	});

	const evidence: core.quarantine.QuarantineDigest = {
		crashes: [{
			endpoint: {id: 'a', bornAt: 1_796_370_137_105}, ageMs: 40, hasBegun: true, requestKey: 'm/own', sharedParts: ['m/1', 'm/2'],
		}],
		soundParts: [{part: 'm/1', ageMs: 5}],
		survivors: [{endpoint: {id: 'b', bornAt: 3}, openedAgeMs: 900, ageMs: 7}],
	};

	it('carry the evidence on prompt parts that end endpoints', () => {
		const message = gateway.peers.encodeDigest({...withoutPauses, quarantine: evidence});
		expect(gateway.peers.decodeDigest(message)).to.deep.equal({...withoutPauses, quarantine: evidence});
	});

	it('with invalid evidence are accepted without it', () => {
		const crash = ['a', 1, 40, true, 'm/own', ['m/1']];
		const extension = {
			crashes: [[...crash.slice(0, 2), -1, ...crash.slice(3)], [...crash.slice(0, 4), 'x'.repeat(65), ['m/1']], [...crash.slice(0, 5), 'm/1'], [...crash.slice(0, 5), [1]]],
			sound: [['m/1', -5], ['', 5]],
			alive: [['b', 3, 10, -7], ['b', 3, 1, 7]],
		};
		expect(gateway.peers.decodeDigest(cbor.encode([...olderRows, extension]))).to.deep.equal(withoutPauses);
	});

	const others: ReadonlyArray<{readonly name: string; readonly extension: readonly unknown[]}> = [
		{name: 'without an extension', extension: []},
		{name: 'with an unknown extension', extension: [{other: 1}]},
		{name: 'with pauses that are no list', extension: [{pauses: 5}]},
		{name: 'with an extension that is no map', extension: [null]},
		{name: 'with invalid limits', extension: [{limits: [['b', 1, 4.3], ['b', 1, -1, 5], ['b', 1, Number.NaN, 5], ['b', 1, 2, -5]]}]},
		{name: 'with limits of which one is invalid', extension: [{limits: [['b', 1, -1, 5]]}]},
		{name: 'with invalid pauses', extension: [{pauses: [['b', 1], ['b', 1, -5], ['b', 1, Number.NaN], [1, 1, 1]]}]},
	];
	for (const {name, extension} of others) {
		it(`of another build ${name} are accepted without pauses`, () => {
			const decoded = gateway.peers.decodeDigest(cbor.encode([...olderRows, ...extension]));
			expect(decoded).to.deep.equal(withoutPauses);
		});
	}
});

describe('the codec of digests', () => {
	it('decodes what it encoded', () => {
		for (const each of [plainDigest, {...plainDigest, leavingEndpoints}]) {
			expect(gateway.peers.decodeDigest(gateway.peers.encodeDigest(each))).to.deep.equal(each);
		}
	});

	it('decodes pauses and leaving endpoints together', () => {
		const both = {...digest, leavingEndpoints};
		expect(gateway.peers.decodeDigest(gateway.peers.encodeDigest(both))).to.deep.equal(both);
	});

	it('leaves the four elements that older versions read as they were', () => {
		const plain = cbor.decode(gateway.peers.encodeDigest(plainDigest)) as unknown[];
		const extended = cbor.decode(gateway.peers.encodeDigest({...plainDigest, leavingEndpoints})) as unknown[];
		expect(plain).to.have.lengthOf(4);
		expect(extended.slice(0, 4)).to.deep.equal(plain);
	});

	it('ignores extensions that it does not know or cannot read', () => {
		const message = cbor.decode(gateway.peers.encodeDigest(plainDigest)) as unknown[];
		const extensions = [undefined, null, 5, 'text', [], {}, {leaving: 5}, {leaving: [5]}, {leaving: [['a', 'b']]}, {another: [1]}];
		for (const extension of extensions) {
			expect(gateway.peers.decodeDigest(cbor.encode([...message, extension, 'more']))).to.deep.equal(plainDigest);
		}
	});
});
