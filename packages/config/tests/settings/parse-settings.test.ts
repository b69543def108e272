import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as config from '@bluebellmast/config';

const {expect} = chai;

const least = `vm: vm-1
dataCentre: nl-noord-1
region: nl-noord
listen: {host: 127.0.0.1, port: 8080}
peer: {host: 127.0.0.1, port: 8081}
platform:
  kv: [http://127.0.0.1:2379]
  vmList: http://127.0.0.1:2380/vms
`;

/** Returns each finding as text. */
function findingsOf(text: string): string[] {
	const findings = config.settings.parseSettings('s.yaml', text).swap().orDefault([]);
	return findings.map(finding => config.document.formatFinding(finding));
}

describe('parseSettings', () => {
	it('fills in the defaults', () => {
		const settings = config.settings.parseSettings('s.yaml', least).unsafeCoerce();
		expect(settings.ledger.shards).to.equal(64);
		expect(settings.retry).to.deep.equal({budgetRatio: 0.1, maxAttempts: 3});
		expect(settings.placement).to.deep.equal({policy: 'cost_based', weights: core.placement.defaultCostWeights});
		expect(settings.peers).to.deep.equal([]);
		expect(settings.metrics).to.equal(undefined);
	});

	const invalid: ReadonlyArray<{name: string; text: string; findings: readonly string[]}> = [
		{name: 'unknown key', text: `${least}colour: red\n`, findings: ['s.yaml:9:1: unknown key \'colour\'']},
		{
			name: 'several findings in order of place',
			text: `${least.replace('vm: vm-1\n', '')}retry:\n  budgetRatio: 2\n  maxAttemps: 3\nlimits: {maxQueue: x}\n`,
			findings: [
				's.yaml:1:1: required key \'vm\' is missing',
				's.yaml:9:16: retry.budgetRatio: Too big: expected number to be <=1',
				's.yaml:10:3: unknown key \'maxAttemps\'',
				's.yaml:11:20: limits.maxQueue: Invalid input: expected number, received string',
			],
		},
		{
			name: 'host name in place of an IP number',
			text: least.replace('http://127.0.0.1:2379', 'http://kv.example:2379').replace('{host: 127.0.0.1, port: 8081}', '{host: localhost, port: 8081}'),
			findings: [
				's.yaml:5:14: peer.host: expected an IP number',
				's.yaml:7:8: platform.kv[0]: expected an HTTP URL by IP number, such as http://192.0.2.1:2379',
			],
		},
		{
			name: 'missing key in a map',
			text: least.replace('peer: {host: 127.0.0.1, port: 8081}', 'peer: {host: 127.0.0.1}'),
			findings: ['s.yaml:5:1: required key \'peer.port\' is missing'],
		},
		{name: 'duplicate key', text: `${least}vm: vm-2\n`, findings: ['s.yaml:9:1: Map keys must be unique']},
		{name: 'empty file', text: '', findings: ['s.yaml:1:1: Invalid input: expected object, received null']},
		{
			name: 'unknown policy',
			text: `${least}placement: {policy: best}\n`,
			findings: ['s.yaml:9:21: placement.policy: Invalid option: expected one of "round_robin"|"least_load"|"rendezvous_first_level"|"bounded_rendezvous"|"cost_based"'],
		},
		{name: 'port out of range', text: `${least}metrics:\n  host: ::1\n  port: 0\n`, findings: ['s.yaml:11:9: metrics.port: Too small: expected number to be >=1']},
	];
	for (const {name, text, findings} of invalid) {
		it(`finds: ${name}`, () => {
			expect(findingsOf(text)).to.deep.equal(findings);
		});
	}
});
