import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const tokens = 11;
const responsesPerEndpoint = 3;

function createEndpoint(id: string, service: string): core.model.Endpoint {
	return {
		id, service, host: '10.0.0.1', port: 1, dataCentre: 'dc', checksFencing: false,
		role: core.model.EngineRole.Mixed, capacity: 4, leaving: false,
	};
}

describe('LoadView', () => {
	/** Records responses of an endpoint with the given time between tokens, one after another. */
	function recordResponses(loads: core.placement.LoadView, endpoint: string, tokenMs: number): void {
		for (let index = 0; index < responsesPerEndpoint; index++) {
			const attempt = `${endpoint} ${index}`;
			const startedAt = loads.estimates.now;
			loads.recordDispatch(attempt, endpoint, 0, startedAt);
			loads.recordFirstToken(attempt, startedAt);
			loads.recordEnd(attempt, tokens, startedAt + (tokenMs * (tokens - 1)));
		}
	}

	it('compares the speed of an endpoint with that of its own service only', () => {
		const loads = new core.placement.LoadView();
		loads.setEndpoints([
			...['large-1', 'large-2', 'large-3'].map(id => createEndpoint(id, 'large')),
			...['small-1', 'small-2', 'small-3'].map(id => createEndpoint(id, 'small')),
		]);
		for (const [endpoint, tokenMs] of [['large-1', 60], ['large-2', 60], ['large-3', 600], ['small-1', 6], ['small-2', 6], ['small-3', 6]] as const) {
			recordResponses(loads, endpoint, tokenMs);
		}

		const slowIds = [...loads.listEndpoints('large'), ...loads.listEndpoints('small')]
			.filter(endpoint => endpoint.slowness > 1)
			.map(endpoint => endpoint.endpoint);
		chai.expect(slowIds).to.deep.equal(['large-3']);
	});
});
