/* eslint-disable no-void -- The work goes on beside this. */
// Runs one case: its record, its exit status, and the end of all that it has started.
import * as fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import * as deployment from './deployment.mjs';

const held = 0;
const broken = 1;
const couldNotRun = 2;
const maxRunMs = 115_000;

/**
 * Plays a case and exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
 *
 * @param folder - Folder of the case, for `record.txt`.
 * @param play - Gets a {@link deployment.Deployment}, whether there is trouble, and a function that adds a line to the record; returns findings.
 */
export async function runCase(folder, play) {
	const hasTrouble = process.env.TROUBLE !== '0';
	const startedAt = Date.now();
	const lines = [];
	const write = text => {
		lines.push(`${((Date.now() - startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}`);
	};

	const system = new deployment.Deployment();
	let status = couldNotRun;
	const finish = async () => {
		await system.stop();
		fs.writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		console.log(lines.filter(line => / {2}(?:finding|result|problem|seen): /.test(line)).join('\n'));
		process.exit(status); // eslint-disable-line unicorn/no-process-exit -- The exit status is the result of a case.
	};

	const abort = problem => {
		write(`problem: ${problem}`);
		status = couldNotRun;
		void finish();
	};

	process.on('uncaughtException', err => {
		abort(err.stack);
	});
	for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
		process.on(signal, () => {
			abort(signal);
		});
	}

	const limit = setTimeout(() => {
		abort('the case has taken too long');
	}, maxRunMs);
	write(`seen: disruption: ${hasTrouble ? 'yes' : 'no (TROUBLE=0)'}`);
	try {
		const findings = await play(system, hasTrouble, write);
		for (const finding of findings) {
			write(`finding: ${finding}`);
		}

		status = findings.length > 0 ? broken : held;
		write(`result: the rule ${findings.length > 0 ? 'was broken' : 'held'}`);
	} catch (err) {
		write(`problem: ${err.stack}`);
	}

	clearTimeout(limit);
	await finish();
}
