// Runs the test files of one group in one mocha process, and sends its result to the parent process:
// `{passed, failed: full titles, msByFile}`. Prints failures only.
import process from 'node:process';
import Mocha from 'mocha';
import * as testGroups from './test-groups.mjs';

const {runner: {constants}, reporters: {Base}} = {runner: Mocha.Runner, reporters: Mocha.reporters};
const nanosecondsPerMillisecond = 1_000_000n;
// Kept, as tests replace clocks.
const readClock = process.hrtime.bigint;

class FailureReporter extends Base {
	constructor(runner, options) {
		super(runner, options);
		runner.once(constants.EVENT_RUN_END, () => {
			Base.list(this.failures);
		});
	}
}

async function runGroup(files) {
	const mocha = new Mocha({
		timeout: 60_000, forbidOnly: true, forbidPending: true, reporter: FailureReporter,
	});
	for (const file of files) {
		mocha.addFile(file);
	}

	await mocha.loadFilesAsync();
	const result = {passed: 0, failed: [], msByFile: {}};
	let lastAt = readClock();
	const addTime = file => {
		const now = readClock();
		result.msByFile[file] = (result.msByFile[file] ?? 0) + Number((now - lastAt) / nanosecondsPerMillisecond);
		lastAt = now;
	};

	return new Promise(resolve => {
		const runner = mocha.run(() => {
			resolve(result);
		});
		runner.on('pass', () => {
			result.passed += 1;
		});
		runner.on('fail', test => {
			result.failed.push(test.fullTitle());
		});
		runner.on('suite end', ({file}) => {
			if (file !== undefined) {
				addTime(file);
			}
		});
	});
}

const result = await runGroup(testGroups.listGroups().get(process.argv[2]));
process.send(result, () => {
	process.exit(0); // Also if a test left something open.
});
