// Runs import rules, linter and type check of the tests beside the tests, and then the tests that run alone. Failures of tests that
// KNOWN-RED.txt lists are printed and ignored; any other failure fails the run. With --slowest, prints the ten files that took longest.
import * as fs from 'node:fs';
import * as os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import * as jobPool from './job-pool.mjs';
import * as testGroups from './test-groups.mjs';

const knownFailuresFile = 'KNOWN-RED.txt';
const slowestCount = 10;
const minAtOnce = 2;
/** Share of the processors that jobs use. */
const processorShare = 0.75;
const lintedFiles = '**/*.{js,mjs,cjs,ts,mts,cts,jsx,tsx,vue,svelte,astro}';
/** Folders that are linted by a process of their own; one more lints all other files. */
const lintFolders = ['packages/core', 'packages/gateway', 'packages/router'];

function readKnownFailures() {
	if (!fs.existsSync(knownFailuresFile)) {
		return new Set();
	}

	const titles = fs.readFileSync(knownFailuresFile, 'utf8')
		.split('\n')
		.filter(line => line.startsWith('test: '))
		.map(line => line.slice('test: '.length).trim());
	return new Set(titles);
}

function createTestJob(group) {
	return {
		name: `tests of ${group}`, script: 'scripts/run-test-group.mjs', args: [group], execArgv: ['--import=tsx'],
	};
}

function createCheckJobs() {
	const restGlobs = [lintedFiles, ...lintFolders.map(folder => `!${folder}/**`)];
	return [
		...lintFolders.map(folder => ({name: `lint of ${folder}`, script: 'node_modules/xo/dist/cli.js', args: [`${folder}/${lintedFiles}`]})),
		{name: 'lint of all other files', script: 'node_modules/xo/dist/cli.js', args: restGlobs},
		{name: 'types of the tests', script: 'node_modules/typescript/bin/tsc', args: ['-p', 'tsconfig.tests.json']},
		{name: 'import rules', script: 'scripts/check-imports.mjs', args: []},
	];
}

function reportJob({name, code, message}, seconds) {
	const counts = message === undefined ? '' : `${message.passed} passed, ${message.failed.length} failed, `;
	console.log(`${name}: ${counts}${code === 0 ? 'ended' : `failed with status ${code}`} after ${seconds} s`);
}

function printSlowest(results) {
	const times = results.flatMap(({msByFile}) => Object.entries(msByFile)).sort((first, second) => second[1] - first[1]);
	for (const [file, ms] of times.slice(0, slowestCount)) {
		console.log(`slow: ${ms} ms ${path.relative('.', file)}`);
	}
}

/** Judges all outcomes of jobs; returns whether the run passes. */
function judge(outcomes, testJobCount) {
	const knownFailures = readKnownFailures();
	const results = outcomes.flatMap(({message}) => message === undefined ? [] : [message]);
	const failed = results.flatMap(result => result.failed);
	const passedCount = results.reduce((sum, {passed}) => sum + passed, 0);
	const unlistedFailures = failed.filter(title => !knownFailures.has(title));
	for (const title of failed.filter(title => knownFailures.has(title))) {
		console.log(`known red: ${title}`);
	}

	for (const title of [...knownFailures].filter(title => !failed.includes(title))) {
		console.log(`listed in ${knownFailuresFile} but did not fail: ${title}`);
	}

	const failedJobs = outcomes.filter(({code}) => code !== 0);
	for (const {name} of failedJobs) {
		console.log(`failed: ${name}`);
	}

	if (process.argv.includes('--slowest')) {
		printSlowest(results);
	}

	console.log(`${passedCount} passed, ${unlistedFailures.length} failed`);
	const haveAllRun = results.length === testJobCount && results.every(({passed, failed: titles}) => passed + titles.length > 0);
	return haveAllRun && failedJobs.length === 0 && unlistedFailures.length === 0 && passedCount > 0;
}

const groups = [...testGroups.listGroups().keys()];
const besideGroups = groups.filter(group => !testGroups.loneGroups.includes(group));
const maxAtOnce = Math.max(minAtOnce, Math.floor(os.availableParallelism() * processorShare));
const outcomes = [
	...await jobPool.runJobs([...besideGroups.map(group => createTestJob(group)), ...createCheckJobs()], maxAtOnce, reportJob),
	...await jobPool.runJobs(testGroups.loneGroups.map(group => createTestJob(group)), 1, reportJob),
];
process.exitCode = judge(outcomes, groups.length) ? 0 : 1;
