import * as chai from 'chai';
import * as fakeContext from '../fakes/fake-context.js';
import * as ctl from '@bluebellmast/ctl';

const {expect} = chai;
const {ExitCode} = ctl.cli; // eslint-disable-line @typescript-eslint/naming-convention
const kv = ['--kv', 'http://192.0.2.1:2379'];
const sample = 'deployments/sterrenveld/manifest.yaml';
const batch = 'model:lantaarn-chat@v2';

function setUp() {
	const ctx = new fakeContext.FakeContext();
	return {ctx, run: async (...argv: string[]) => ctl.cli.runCli(argv, ctx)};
}

describe('runCli', () => {
	const usage: ReadonlyArray<{argv: readonly string[]; code: number; text: RegExp}> = [
		{argv: ['--version'], code: ExitCode.Ok, text: /^\d+\.\d+\.\d+$/},
		{argv: ['--help'], code: ExitCode.Ok, text: /Exit status:/},
		{argv: ['recall', '--help'], code: ExitCode.Ok, text: /a later apply does not undo it/},
		{argv: [], code: ExitCode.Usage, text: /Commands:/},
		{argv: ['unknown'], code: ExitCode.Usage, text: /unknown command/},
		{argv: ['check', 'no-such-file'], code: ExitCode.Usage, text: /can't read no-such-file/},
		{argv: ['apply', sample], code: ExitCode.Usage, text: /--kv URL is required/},
		{argv: ['apply', '--kv', 'here', sample], code: ExitCode.Usage, text: /is not an HTTP URL/},
		{argv: ['apply', ...kv, sample, '--made-from', 'x'], code: ExitCode.Usage, text: /is not an integer of at least 0/},
		{argv: ['apply', ...kv, sample, '--wait'], code: ExitCode.Usage, text: /--router URL is required/},
		{argv: ['recall', ...kv, 'lantaarn-chat'], code: ExitCode.Usage, text: /expected model:ID@VERSION/},
		{argv: ['recall', ...kv, '--force', batch], code: ExitCode.Usage, text: /--force/},
		{argv: ['check', sample], code: ExitCode.Ok, text: /no findings/},
		{argv: ['check-settings', sample], code: ExitCode.Findings, text: /manifest.yaml:3:1: unknown key 'kinds'/},
	];
	for (const {argv, code, text} of usage) {
		it(`ends with ${code}: ${argv.join(' ')}`, async () => {
			const {ctx, run} = setUp();
			expect(await run(...argv)).to.equal(code);
			expect([...ctx.printed, ...ctx.warned].join('\n')).to.match(text);
		});
	}

	it('applies and recalls, and refuses an apply and a reinstatement that are based on an earlier generation, with the differences', async () => {
		const {ctx, run} = setUp();
		expect(await run('apply', ...kv, sample)).to.equal(ExitCode.Ok);
		expect(await run('recall', ...kv, batch, 'model:unlisted@v1')).to.equal(ExitCode.Ok);
		expect(ctx.warned).to.deep.equal(['note: model:unlisted@v1 is recalled, but the active manifest does not list it']);
		ctx.files.set('next.yaml', ctx.readFile(sample).replace('[v2, v1]', '[v3]'));
		expect(await run('apply', ...kv, 'next.yaml', '--made-from', '1')).to.equal(ExitCode.Refused);
		expect(ctx.warned.slice(1)).to.deep.equal([
			'apply (change apply:alice:3): based on generation 1, but generation 2 by change recall:alice:2 is active',
			'changes of the file to generation 2: 1 entries',
			'  ~ models lantaarn-chat',
		]);
		expect(await run('reinstate', ...kv, batch, '--made-from', '1')).to.equal(ExitCode.Refused);
		expect(await run('reinstate', ...kv, batch)).to.equal(ExitCode.Ok);
	});

	it('reports that a recall was not accepted during an outage of the key-value service', async () => {
		const {ctx, run} = setUp();
		await run('apply', ...kv, sample);
		ctx.kv.down = true;
		expect(await run('recall', ...kv, batch)).to.equal(ExitCode.Unreachable);
		expect(ctx.warned.at(-1)).to.match(/NOT accepted/);
	});

	it('determines the outcome of a write whose response is lost, and accepts a change id only once', async () => {
		const {ctx, run} = setUp();
		ctx.store.losesNextResponse = true;
		expect(await run('apply', ...kv, sample)).to.equal(ExitCode.Ok);
		expect(await run('recall', ...kv, batch, '--change-id', 'r-1')).to.equal(ExitCode.Ok);
		expect(await run('recall', ...kv, batch, '--change-id', 'r-1')).to.equal(ExitCode.Ok);
		expect(ctx.printed.at(-1)).to.equal('recall (change r-1): accepted as generation 2');
	});

	it('waits until each router has confirmed, and lists those that have not', async () => {
		const {ctx, run} = setUp();
		ctx.addRouter('http://192.0.2.11', 1);
		const routers = ['--router', 'http://192.0.2.11', '--router', 'http://192.0.2.12', '--router', 'http://192.0.2.13'];
		ctx.addRouter('http://192.0.2.12', 0);
		ctx.addRouter('http://192.0.2.13', 1).currentStatus = undefined;
		expect(await run('apply', ...kv, sample, '--wait', ...routers)).to.equal(ExitCode.NotConfirmed);
		expect(ctx.printed.slice(1)).to.deep.equal([
			'confirmed http://192.0.2.11: vm-of-http://192.0.2.11 at generation 1, confirmed',
			'NOT CONFIRMED http://192.0.2.12: vm-of-http://192.0.2.12 at generation 0, confirmed',
			'NOT CONFIRMED http://192.0.2.13: no response: timed out',
			'1 of 3 routers have confirmed generation 1',
		]);
		ctx.addRouter('http://192.0.2.12', 2);
		ctx.addRouter('http://192.0.2.13', 2);
		expect(await run('recall', ...kv, batch, '--wait', ...routers.slice(2))).to.equal(ExitCode.Ok);
	});

	it('shows the state of the routers that respond and warns about those that do not', async () => {
		const {ctx, run} = setUp();
		ctx.addRouter('http://192.0.2.11', 7);
		ctx.addRouter('http://192.0.2.12', 7).currentStatus = undefined;
		expect(await run('status', '--router', 'http://192.0.2.11')).to.equal(ExitCode.Ok);
		expect(ctx.printed[0]).to.match(/^vm +dataCentre +generation/).and.to.match(/\nvm-of-http:\/\/192.0.2.11 +dc-1 +7 +true/);
		expect(await run('endpoints', '--router', 'http://192.0.2.11', '--router', 'http://192.0.2.12')).to.equal(ExitCode.Unreachable);
		expect(ctx.printed[1]).to.match(/engine-1 +pool$/);
		expect(ctx.warned).to.deep.equal(['no response from http://192.0.2.12: timed out']);
	});

	it('merges the timelines of routers by time and counter', async () => {
		const {ctx, run} = setUp();
		const type = 'manifest_accepted' as never;
		ctx.addRouter('http://192.0.2.11', 1).events = [{
			at: 5, counter: 1, vm: 'a', type, generation: 2,
		}];
		ctx.addRouter('http://192.0.2.12', 1).events = [{
			at: 5, counter: 0, vm: 'b', type, detail: '<script>\u001B[2J',
		}];
		const routers = ['--router', 'http://192.0.2.11', '--router', 'http://192.0.2.12'];
		expect(await run('timeline', ...routers)).to.equal(ExitCode.Ok);
		expect(ctx.printed[0]).to.equal([
			'1970-01-01T00:00:00.005Z+0 b manifest_accepted <script>?[2J',
			'1970-01-01T00:00:00.005Z+1 a manifest_accepted generation=2',
		].join('\n'));
		expect(await run('timeline', ...routers, '--html', 'page.html')).to.equal(ExitCode.Ok);
		const page = ctx.files.get('page.html')!;
		expect(page).to.include('<th>a</th><th>b</th>').and.to.include('&lt;script&gt;');
		expect(page).not.to.match(/<script|<link|src=|href=/);
	});
});
