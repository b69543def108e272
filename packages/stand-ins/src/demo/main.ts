import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as util from 'node:util';
import * as demo from './demo.js';

const usage = `Usage: node demo/main.js [--seed N] [--seconds N] [--keep]
Runs routers and stand-ins as local processes under load and faults, and checks that every request is accounted for.`;

const {values} = util.parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		seconds: {type: 'string', default: '15'},
		keep: {type: 'boolean', default: false},
		help: {type: 'boolean', default: false},
	},
});

async function main(): Promise<number> {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bluebellmast-demo-'));
	const findings = await demo.runDemo({
		folder,
		seed: Number(values.seed),
		durationMs: Number(values.seconds) * 1000,
		print(line) {
			console.log(line);
		},
	});
	for (const finding of findings) {
		console.log(`finding: ${finding}`);
	}

	console.log(findings.length === 0 ? 'no findings: every request is accounted for' : `${findings.length} findings; logs in ${folder}`);
	if (findings.length === 0 && !values.keep) {
		fs.rmSync(folder, {recursive: true});
	}

	return findings.length === 0 ? 0 : 1;
}

if (values.help) {
	console.log(usage);
} else {
	process.exitCode = await main();
}
