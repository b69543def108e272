import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import process from 'node:process';
import * as readline from 'node:readline';

/** Options of a child process. */
export type ChildProcessOptions = {
	/** Name of the process in error messages. */
	readonly name: string;
	/** Path of the script that Node.js runs. */
	readonly script: string;
	readonly args: readonly string[];
	/** Options of Node.js itself; default none. */
	readonly nodeArgs?: readonly string[];
	/** File to which standard output and standard error are appended. */
	readonly logFile: string;
	/** Environment variables in addition to those of this process. */
	readonly env?: Readonly<Record<string, string>>;
};

/** Processes that have not exited; they are killed when this process exits. */
const runningProcesses = new Set<childProcess.ChildProcess>();

process.once('exit', () => {
	for (const child of runningProcesses) {
		child.kill('SIGKILL');
	}
});

/** A Node.js child process. Signals are sent through its handle, never by process name. */
export class ChildProcess {
	/** Resolves with the exit code, or -1 when a signal ended the process. */
	readonly exited: Promise<number>;
	readonly #process: childProcess.ChildProcess;
	readonly #firstLine: Promise<string>;
	#isRunning = true;

	constructor(readonly options: ChildProcessOptions) {
		const log = fs.createWriteStream(options.logFile, {flags: 'a'});
		this.#process = childProcess.spawn(process.execPath, [...options.nodeArgs ?? [], options.script, ...options.args], {
			stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...options.env},
		});
		runningProcesses.add(this.#process);
		this.#process.stdout!.pipe(log, {end: false});
		this.#process.stderr!.pipe(log, {end: false});
		this.#firstLine = new Promise(resolve => {
			readline.createInterface({input: this.#process.stdout!}).once('line', resolve);
		});
		this.exited = new Promise(resolve => {
			this.#process.once('exit', code => {
				this.#isRunning = false;
				runningProcesses.delete(this.#process);
				log.end();
				resolve(code ?? -1);
			});
		});
	}

	/** Whether the process has not exited. */
	get isRunning(): boolean {
		return this.#isRunning;
	}

	/** Process id, or -1 when the process could not be started. */
	get pid(): number {
		return this.#process.pid ?? -1;
	}

	/** Returns the first line of standard output; rejects when the process exits before it. */
	async firstLine(): Promise<string> {
		return Promise.race([this.#firstLine, this.#rejectOnExit()]);
	}

	/** Sends SIGTERM, which asks the process to stop. */
	terminate(): void {
		this.#process.kill('SIGTERM');
	}

	/** Sends SIGKILL, which ends the process at once. */
	kill(): void {
		this.#process.kill('SIGKILL');
	}

	/** Sends SIGHUP, which announces changed settings. */
	reload(): void {
		this.#process.kill('SIGHUP');
	}

	/** Sends SIGSTOP, which simulates a machine that hangs. */
	pause(): void {
		this.#process.kill('SIGSTOP');
	}

	/** Sends SIGCONT, which resumes a paused process. */
	resume(): void {
		this.#process.kill('SIGCONT');
	}

	async #rejectOnExit(): Promise<never> {
		const code = await this.exited;
		throw new Error(`${this.options.name} exited with code ${code} before it was ready; see ${this.options.logFile}`);
	}
}

/** Starts a Node.js child process. */
export function startChildProcess(options: ChildProcessOptions): ChildProcess {
	return new ChildProcess(options);
}

/** Runs a Node.js child process to its end and returns its exit code, or -1 when a signal ended it. */
export async function runChildProcess(options: ChildProcessOptions): Promise<number> {
	return startChildProcess(options).exited;
}
