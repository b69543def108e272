import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

function line(at: number, vm: string, event: string, fields: Readonly<Record<string, unknown>> = {}): string {
	return JSON.stringify({
		at, vm, event, ...fields,
	});
}

function explain(texts: readonly string[]): core.log.RequestExplanation {
	return core.log.explainRequest(texts.map(text => core.log.parseLogLine(text)).filter(item => item !== undefined), 'r1');
}

describe('parseLogLine', () => {
	it('parses a line after the timestamp of a log collector', () => {
		expect(core.log.parseLogLine(`12.5 vm-a ${line(5, 'vm-a', 'store_lost', {code: 'x'})}`)).to.deep.equal({
			at: 5, vm: 'vm-a', event: 'store_lost', fields: {code: 'x'},
		});
	});

	for (const text of ['', 'plain text', '{"at":1', '[1]', '{"at":"1","vm":"a","event":"store_lost"}', line(1, 'a', 'never_heard_of')]) {
		it(`does not parse '${text}'`, () => {
			expect(core.log.parseLogLine(text)).to.equal(undefined);
		});
	}
});

describe('explainRequest', () => {
	const texts = [
		line(10, 'vm-a', 'config_accepted', {version: 3}),
		line(20, 'vm-a', 'config_accepted', {version: 4}),
		line(21, 'vm-b', 'config_accepted', {version: 5}),
		line(30, 'vm-a', 'endpoint_unresponsive', {endpoint: 'e1'}),
		line(31, 'vm-a', 'endpoint_unresponsive', {endpoint: 'e9'}),
		line(40, 'vm-a', 'endpoint_responsive', {endpoint: 'e1'}),
		line(50, 'vm-a', 'request_sent', {request: 'r1', endpoint: 'e1'}),
		line(51, 'vm-a', 'request_sent', {request: 'r2', endpoint: 'e1'}),
		line(55, 'vm-a', 'endpoint_unresponsive', {endpoint: 'e1'}),
		line(56, 'vm-b', 'endpoint_unresponsive', {endpoint: 'e1'}),
		line(60, 'vm-a', 'attempt_failed', {request: 'r1', endpoint: 'e1'}),
		line(70, 'vm-a', 'request_ended', {request: 'r1'}),
		line(80, 'vm-a', 'store_lost'),
		line(90, 'vm-a', 'lines_dropped', {lines: 7}),
	];

	it('returns the lines of the request and the state changes of its VM and endpoints meanwhile, ordered by time', () => {
		const explanation = explain([...texts].reverse());
		expect(explanation.lines.map(({at}) => at)).to.deep.equal([50, 55, 60, 70]);
		expect(explanation.isComplete).to.equal(true);
	});

	it('returns the last state of each subject before the request arrived', () => {
		const [{vm, lines}] = explain(texts).vmStates as [core.log.VmStateAtArrival];
		expect(vm).to.equal('vm-a');
		expect(lines.map(({at}) => at)).to.deep.equal([20, 40]);
	});

	it('reports missing and dropped lines', () => {
		const explanation = explain(texts.filter(text => !text.includes('request_ended')));
		expect(explanation.isComplete).to.equal(false);
		expect(explanation.droppedLines).to.equal(7);
	});

	it('returns no lines for an unknown request', () => {
		expect(explain([]).lines).to.deep.equal([]);
	});
});
