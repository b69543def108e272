import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import process from 'node:process';
import * as readline from 'node:readline';

/** How a process is started. */
export type ChildProcessOptions = {
	/** Name in messages. */
	readonly name: string;
	/** Path of the script that Node.js runs. */
	readonly script: string;
	readonly args: readonly string[];
	/** File that its output is appended to. */
	readonly logFile: string;
	/** Variables beside those of this process. */
	readonly env?: Readonly<Record<string, string>>;
};

/** A Node.js process of a run. It is ended by its handle only. */
export class ChildProcess {
	/** Resolves with the exit code, or a negative signal-like -1 when a signal ended it. */
	readonly exited: Promise<number>;
	readonly #process: childProcess.ChildProcess;
	readonly #firstLine: Promise<string>;
	#isRunning = true;

	constructor(readonly options: ChildProcessOptions) {
		const log = fs.createWriteStream(options.logFile, {flags: 'a'});
		this.#process = childProcess.spawn(process.execPath, [options.script, ...options.args], {
			stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...options.env},
		});
		this.#process.stdout!.pipe(log, {end: false});
		this.#process.stderr!.pipe(log, {end: false});
		this.#firstLine = new Promise(resolve => {
			readline.createInterface({input: this.#process.stdout!}).once('line', resolve);
		});
		this.exited = new Promise(resolve => {
			this.#process.once('exit', code => {
				this.#isRunning = false;
				log.end();
				resolve(code ?? -1);
			});
		});
	}

	/** Whether the process has not ended. */
	get isRunning(): boolean {
		return this.#isRunning;
	}

	/** Process id. */
	get pid(): number {
		return this.#process.pid ?? -1;
	}

	/** Returns the first line of output; throws when the process ends before it. */
	async firstLine(): Promise<string> {
		return Promise.race([this.#firstLine, this.#rejectOnExit()]);
	}

	/** Asks the process to stop. */
	terminate(): void {
		this.#process.kill('SIGTERM');
	}

	/** Ends the process at once. */
	kill(): void {
		this.#process.kill('SIGKILL');
	}

	/** Pauses the process, as a machine that hangs does. */
	pause(): void {
		this.#process.kill('SIGSTOP');
	}

	/** Lets a paused process go on. */
	resume(): void {
		this.#process.kill('SIGCONT');
	}

	async #rejectOnExit(): Promise<never> {
		const code = await this.exited;
		throw new Error(`${this.options.name} ended with code ${code} before it was ready; see ${this.options.logFile}`);
	}
}

/** Starts a process. */
export function startChildProcess(options: ChildProcessOptions): ChildProcess {
	return new ChildProcess(options);
}

/** Runs a process to its end and returns its exit code. */
export async function runChildProcess(options: ChildProcessOptions): Promise<number> {
	return startChildProcess(options).exited;
}
