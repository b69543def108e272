import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {LogEvent: events} = core.log;

function createRequest(sharedParts: readonly string[], hasBegun: boolean): core.quarantine.InterruptedRequest {
	return {sharedParts, requestKey: 'm/own', hasBegun};
}

describe('EndpointInterruptions', () => {
	it('logs one line for each incarnation, with the parts of the requests whose response had begun', async () => {
		const lines: unknown[] = [];
		const reported: core.quarantine.Interruption[] = [];
		const interruptions = new gateway.placement.EndpointInterruptions({
			onInterruption(interruption) {
				reported.push(interruption);
			},
			log: {
				write(event, fields) {
					lines.push({event, ...fields});
				},
			},
		});
		interruptions.record({id: 'a', bornAt: 1}, createRequest(['m/1', 'm/2'], true), 8);
		interruptions.record({id: 'a', bornAt: 1}, createRequest(['m/3', 'm/2', 'm/2'], true), 7);
		interruptions.record({id: 'a', bornAt: 1}, createRequest(['m/4'], false), 7);
		interruptions.record({id: 'a', bornAt: 2}, createRequest([], true), 7);
		interruptions.record({id: 'b', bornAt: 1}, createRequest(['m/5'], false), 7);
		await timers.setTimeout(100);
		expect(lines).to.deep.equal([
			{
				event: events.EndpointInterrupted, endpoint: 'a', bornAt: 1, begun: 2, waiting: 1, parts: 'm/2 2, m/1 1, m/3 1',
			},
			{
				event: events.EndpointInterrupted, endpoint: 'a', bornAt: 2, begun: 1, waiting: 0, parts: '',
			},
			{
				event: events.EndpointInterrupted, endpoint: 'b', bornAt: 1, begun: 0, waiting: 1, parts: '',
			},
		]);
		expect(reported.map(({endpoint, at, requests}) => [endpoint.id, endpoint.bornAt, at, requests.length])).to.deep.equal([
			['a', 1, 7, 3], ['a', 2, 7, 1], ['b', 1, 7, 1],
		]);
	});
});
