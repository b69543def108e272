import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as loaded from '../support/loaded-vm.js';

const {expect} = chai;
const {LogEvent: events} = core.log;

// Guards against requests that fail because the address of one endpoint can't be used, although another endpoint could serve them.
describe('a request whose first endpoint has an invalid address', () => {
	for (const [kind, maxAttempts] of [[core.routing.RouteKind.Streaming, 2], [core.routing.RouteKind.Unsafe, 1]] as const) {
		it(`is sent to another one, on a route of the kind ${kind} with ${maxAttempts} attempts`, async () => {
			const vm = new loaded.LoadedVm();
			vm.connections.invalid.add('a');
			vm.addEndpoint('a');
			vm.addEndpoint('b');
			for (let number = 0; number < 4; number++) {
				vm.send(`r-${number}`, {kind, maxAttempts});
				await loaded.settle(); // eslint-disable-line no-await-in-loop -- One after the other.
			}

			expect(vm.connections.streams.map(({endpoint}) => endpoint)).to.deep.equal(['b', 'b', 'b', 'b']);
			expect(vm.lines.filter(({event}) => event === events.InternalError).map(({fields}) => fields.task)).to.deep.equal(['connection to a']);
			await vm.close();
		});
	}
});
