import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as config from '@bluebellmast/config';

const {expect} = chai;

const minimalSettings = `vm: vm-1
dataCentre: nl-noord-1
region: nl-noord
listen: {host: 127.0.0.1, port: 8080}
peer: {host: 127.0.0.1, port: 8081}
platform:
  kv: [http://127.0.0.1:2379]
  vmList: http://127.0.0.1:2380/vms
`;

/** Returns the formatted findings of a settings file. */
function findingsOf(text: string): string[] {
	const findings = config.settings.parseSettings('s.yaml', text).swap().orDefault([]);
	return findings.map(finding => config.document.formatFinding(finding));
}

describe('parseSettings', () => {
	it('sets the defaults', () => {
		const settings = config.settings.parseSettings('s.yaml', minimalSettings).unsafeCoerce();
		expect(settings.ledger.shards).to.equal(64);
		expect(settings.retry).to.deep.equal({budgetRatio: 0.1, maxAttempts: 3});
		expect(settings.placement).to.deep.equal({policy: 'cost_based', weights: core.placement.defaultCostWeights});
		expect(settings.peers).to.deep.equal([]);
		expect(settings.metrics).to.equal(undefined);
	});

	const invalid: ReadonlyArray<{name: string; text: string; findings: readonly string[]}> = [
		{name: 'an unknown key', text: `${minimalSettings}colour: red\n`, findings: ['s.yaml:9:1: unknown key \'colour\'']},
		{
			name: 'several errors, in order of location',
			text: `${minimalSettings.replace('vm: vm-1\n', '')}retry:\n  budgetRatio: 2\n  maxAttemps: 3\nlimits: {maxQueue: x}\n`,
			findings: [
				's.yaml:1:1: required key \'vm\' is missing',
				's.yaml:9:16: retry.budgetRatio: Too big: expected number to be <=1',
				's.yaml:10:3: unknown key \'maxAttemps\'',
				's.yaml:11:20: limits.maxQueue: Invalid input: expected number, received string',
			],
		},
		{
			name: 'a host name instead of an IP address',
			text: minimalSettings.replace('http://127.0.0.1:2379', 'http://kv.example:2379').replace('{host: 127.0.0.1, port: 8081}', '{host: localhost, port: 8081}'),
			findings: [
				's.yaml:5:14: peer.host: expected an IP address',
				's.yaml:7:8: platform.kv[0]: expected an HTTP URL with an IP address, such as http://192.0.2.1:2379',
			],
		},
		{
			name: 'a missing key in a map',
			text: minimalSettings.replace('peer: {host: 127.0.0.1, port: 8081}', 'peer: {host: 127.0.0.1}'),
			findings: ['s.yaml:5:1: required key \'peer.port\' is missing'],
		},
		{name: 'a duplicate key', text: `${minimalSettings}vm: vm-2\n`, findings: ['s.yaml:9:1: Map keys must be unique']},
		{name: 'an empty file', text: '', findings: ['s.yaml:1:1: Invalid input: expected object, received null']},
		{
			name: 'an unknown placement policy',
			text: `${minimalSettings}placement: {policy: best}\n`,
			findings: ['s.yaml:9:21: placement.policy: Invalid option: expected one of "round_robin"|"least_load"|"rendezvous_first_level"|"bounded_rendezvous"|"cost_based"'],
		},
		{name: 'a port out of range', text: `${minimalSettings}metrics:\n  host: ::1\n  port: 0\n`, findings: ['s.yaml:11:9: metrics.port: Too small: expected number to be >=1']},
	];
	for (const {name, text, findings} of invalid) {
		it(`reports ${name}`, () => {
			expect(findingsOf(text)).to.deep.equal(findings);
		});
	}
});
