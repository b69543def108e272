// Runs commands side by side, each as a child process whose output is printed as a whole when it ends.
import * as childProcess from 'node:child_process';
import process from 'node:process';

/** Milliseconds after which a job is ended and fails. */
const maxJobMs = 20 * 60 * 1000;

/** Runs one job `{name, script, args, execArgv}`; resolves with its exit code and the last message that it sent. */
async function runJob({name, script, args, execArgv = []}, report) {
	const startedAt = Date.now();
	const child = childProcess.fork(script, args, {
		execArgv, silent: true, timeout: maxJobMs, killSignal: 'SIGKILL',
	});
	let output = '';
	let message;
	for (const stream of [child.stdout, child.stderr]) {
		stream.setEncoding('utf8').on('data', text => {
			output += text;
		});
	}

	child.on('message', value => {
		message = value;
	});
	const code = await new Promise(resolve => {
		child.on('error', err => {
			output += String(err);
			resolve(1);
		});
		child.on('close', (exitCode, signal) => {
			resolve(signal === null ? exitCode : 1);
		});
	});
	const outcome = {name, code, message};
	process.stdout.write(output);
	report(outcome, Math.round((Date.now() - startedAt) / 1000));
	return outcome;
}

/** Runs jobs, in their order and at most some at once; resolves with their outcomes. `report(outcome, seconds)` prints one line on each. */
export async function runJobs(jobs, maxAtOnce, report) {
	const waiting = [...jobs];
	const outcomes = [];
	const runNext = async () => {
		for (let job = waiting.shift(); job !== undefined; job = waiting.shift()) {
			outcomes.push(await runJob(job, report)); // eslint-disable-line no-await-in-loop -- One after the other.
		}
	};

	await Promise.all(Array.from({length: maxAtOnce}, runNext));
	return outcomes;
}
