import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

const plays = [
	{seed: 27, durationMs: 60_000, onlySilences: false},
	{seed: 5, durationMs: 15_000, onlySilences: true},
] as const;
const maxRunMs = 110_000;

describe('runPlatformSoak', () => {
	let folder = '';

	before(async () => {
		folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bluebellmast-soak-'));
		const code = await standIns.util.runChildProcess({
			name: 'bundle', script: 'scripts/bundle.mjs', args: [], logFile: path.join(folder, 'bundle.log'),
		});
		chai.expect(code).to.equal(0);
	});

	after(() => {
		fs.rmSync(folder, {recursive: true});
	});

	async function play({seed, durationMs, onlySilences}: typeof plays[number]): Promise<void> {
		const lines: string[] = [];
		const playFolder = path.join(folder, String(seed));
		fs.mkdirSync(playFolder);
		const findings = await standIns.soak.platform.runPlatformSoak({
			folder: playFolder,
			root: process.cwd(),
			seed,
			durationMs,
			onlySilences,
			print(line) {
				lines.push(line);
			},
		});
		chai.expect(findings, lines.join('\n')).to.deep.equal([]);
	}

	it(`finds no broken promise of the deployed gateways with seed ${plays[0].seed}`, async () => play(plays[0])).timeout(maxRunMs);

	it(`finds no broken promise while servers fall silent with seed ${plays[1].seed}`, async () => play(plays[1])).timeout(maxRunMs);
});
