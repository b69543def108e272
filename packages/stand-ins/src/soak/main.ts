import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as util from 'node:util';
import * as platformSoak from './platform/index.js';
import * as soak from './soak.js';

const usage = `Usage: node soak/main.js [--system router|platform] [--seed N] [--minutes M] [--empty-engines] [--only-silences] [--logs FOLDER] [--keep]
Runs routers, or the deployed gateways, and stand-ins as local processes under load, injects faults from a seeded schedule, and
checks the recorded requests.
  --logs           folder in which a folder for settings, logs and records is created; default the system's temporary folder
  --only-silences  of the deployed gateways: servers fall silent and configurations change, and nothing else happens
  --empty-engines  engines hold no weights after a restart until they are ordered to load them`;
const millisecondsPerMinute = 60_000;
const interruptedExitCode = 130;

const {values} = util.parseArgs({
	options: {
		system: {type: 'string', default: 'router'},
		logs: {type: 'string', default: os.tmpdir()},
		seed: {type: 'string', default: '1'},
		minutes: {type: 'string', default: '1'},
		'empty-engines': {type: 'boolean', default: false},
		'only-silences': {type: 'boolean', default: false},
		keep: {type: 'boolean', default: false},
		help: {type: 'boolean', default: false},
	},
});

async function run(folder: string, print: (line: string) => void): Promise<string[]> {
	const seed = Number(values.seed);
	const durationMs = Number(values.minutes) * millisecondsPerMinute;
	if (values.system === 'platform') {
		const findings = await platformSoak.runPlatformSoak({
			folder, root: process.cwd(), seed, durationMs, print, onlySilences: values['only-silences'],
		});
		return findings.map(finding => platformSoak.formatFinding(finding));
	}

	return soak.runSoak({
		folder, seed, durationMs, emptyEngines: values['empty-engines'], print,
	});
}

async function main(): Promise<number> {
	fs.mkdirSync(values.logs, {recursive: true});
	const folder = fs.mkdtempSync(path.join(values.logs, 'bluebellmast-soak-'));
	const lines: string[] = [];
	const findings = await run(folder, line => {
		lines.push(line);
		console.log(line);
	});
	for (const finding of findings) {
		console.log(`finding: ${finding}`);
	}

	const flags = (['empty-engines', 'only-silences'] as const).filter(flag => values[flag]).map(flag => ` --${flag}`).join('');
	const command = `npm run soak -- --system ${values.system} --seed ${values.seed} --minutes ${values.minutes}${flags}`;
	console.log(findings.length === 0 ? 'no findings' : `${findings.length} findings with: ${command}; logs in ${folder}`);
	fs.writeFileSync(path.join(folder, 'soak.txt'), [...lines, ...findings, ''].join('\n'));
	if (findings.length === 0 && !values.keep) {
		fs.rmSync(folder, {recursive: true});
	}

	return findings.length === 0 ? 0 : 1;
}

// The exit of this process ends the processes that it started.
for (const signal of ['SIGINT', 'SIGTERM']) {
	process.once(signal, () => {
		process.exit(interruptedExitCode);
	});
}

if (values.help) {
	console.log(usage);
} else {
	process.exitCode = await main();
}
