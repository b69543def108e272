import * as chai from 'chai';
import * as fakeContext from '../fakes/fake-context.js';
import * as ctl from '@bluebellmast/ctl';

const {expect} = chai;
const {ExitCode} = ctl.cli; // eslint-disable-line @typescript-eslint/naming-convention
const log = [
	'{"at":1000,"vm":"vm-a","event":"config_accepted","version":4,"routes":2}',
	'0.1 vm-a {"at":1100,"vm":"vm-a","event":"request_sent","request":"r1","endpoint":"e1","send":1}',
	'something else',
	String.raw`{"at":1150,"vm":"vm-a","event":"request_ended","request":"r1","outcome":"cut","detail":"\u001b[2J"}`,
].join('\n');

async function run(argv: readonly string[], files: ReadonlyArray<readonly [name: string, text: string]>) {
	const ctx = new fakeContext.FakeContext();
	for (const [name, text] of files) {
		ctx.files.set(name, text);
	}

	return {code: await ctl.cli.runCli(['explain', ...argv], ctx), ctx};
}

describe('bluebellmastctl explain', () => {
	it('prints the log lines of a request and the state of its VM, from several files', async () => {
		const {code, ctx} = await run(['r1', 'a.log', 'b.log'], [['a.log', log], ['b.log', '']]);
		expect(code).to.equal(ExitCode.Ok);
		expect(ctx.printed.join('\n').split('\n')).to.deep.equal([
			'state of vm-a when the request arrived:',
			'  -100 ms config_accepted version=4 routes=2',
			'request r1:',
			'  vm-a +0 ms request_sent request=r1 endpoint=e1 send=1',
			'  vm-a +50 ms request_ended request=r1 outcome=cut detail=?[2J',
		]);
		expect(ctx.warned).to.deep.equal(['1 of 4 lines are not gateway log lines']);
	});

	it('reads standard input if no files are given', async () => {
		const {code} = await run(['r1'], [['-', log]]);
		expect(code).to.equal(ExitCode.Ok);
	});

	it('reports a request without log lines', async () => {
		const {code, ctx} = await run(['r9', 'a.log'], [['a.log', log]]);
		expect(code).to.equal(ExitCode.Findings);
		expect(ctx.printed).to.deep.equal(['no log line of request r9']);
	});

	it('ends with a usage error without a request id or with a file that cannot be read', async () => {
		const results = await Promise.all([run([], []), run(['r1', 'none.log'], [])]);
		expect(results.map(({code}) => code)).to.deep.equal([ExitCode.Usage, ExitCode.Usage]);
	});
});
