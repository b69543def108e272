#!/usr/bin/env node
import * as fs from 'node:fs';
import process from 'node:process';
import * as config from '@bluebellmast/config';
import * as exitCode from './cli/exit-code.js';
import * as commandLine from './cli/parse-command-line.js';
import type * as routerProgram from './router-program.js';
import * as wireUp from './wire-up.js';
import * as installUncaughtErrorHandlers from './util/install-uncaught-error-handlers.js';
import * as noop from './util/noop.js';

const version = '0.1.0';

function print(text: string): void {
	process.stdout.write(`${text}\n`);
}

function printError(text: string): void {
	process.stderr.write(`${text}\n`);
}

async function main(): Promise<exitCode.ExitCode> {
	const command = commandLine.parseCommandLine(process.argv.slice(2));
	if (command.isLeft()) {
		printError(String(command.extract()));
		return exitCode.ExitCode.Usage;
	}

	return runCommand(command.unsafeCoerce());
}

async function runCommand(command: commandLine.Command): Promise<exitCode.ExitCode> {
	switch (command.type) {
		case commandLine.CommandType.Help: {
			print(commandLine.helpText);
			return exitCode.ExitCode.Ok;
		}

		case commandLine.CommandType.Version: {
			print(version);
			return exitCode.ExitCode.Ok;
		}

		case commandLine.CommandType.PrintSettings: {
			print(config.settings.renderDefaultSettings());
			return exitCode.ExitCode.Ok;
		}

		case commandLine.CommandType.Check: {
			return readSettings(command.settingsFile) === undefined ? exitCode.ExitCode.Findings : exitCode.ExitCode.Ok;
		}

		case commandLine.CommandType.Run: {
			const settings = readSettings(command.settingsFile);
			return settings === undefined ? exitCode.ExitCode.Findings : runRouter(settings);
		}
	}
}

/** Reads and checks a settings file. Prints all findings and returns `undefined` if there are any. */
function readSettings(file: string): config.settings.Settings | undefined {
	let text: string;
	try {
		text = fs.readFileSync(file, 'utf8');
	} catch (err) {
		printError(`${file}: ${(err as Error).message}`);
		return undefined;
	}

	const parsed = config.settings.parseSettings(file, text);
	if (parsed.isRight()) {
		return parsed.extract();
	}

	for (const finding of parsed.extract() as readonly config.document.FileFinding[]) {
		printError(config.document.formatFinding(finding));
	}

	return undefined;
}

async function runRouter(settings: config.settings.Settings): Promise<exitCode.ExitCode> {
	const program = wireUp.createRouterProgram(settings);
	installUncaughtErrorHandlers.installUncaughtErrorHandlers(error => {
		printError(`uncaught error: ${error instanceof Error ? error.stack : String(error)}`);
		program.recordInternalError(error);
	});
	try {
		await program.start();
	} catch (err) {
		printError(`cannot listen: ${(err as Error).message}`);
		process.exit(exitCode.ExitCode.CannotListen);
	}

	print(JSON.stringify({ready: true, vm: settings.vm, port: program.port}));
	await waitForStopSignal(program);
	return exitCode.ExitCode.Ok;
}

/** Waits for SIGTERM or SIGINT, then shuts down gracefully. Further signals are ignored. */
async function waitForStopSignal(program: routerProgram.RouterProgram): Promise<void> {
	await new Promise<void>(resolve => {
		process.once('SIGTERM', resolve);
		process.once('SIGINT', resolve);
	});
	process.on('SIGTERM', noop.noop);
	process.on('SIGINT', noop.noop);
	await program.stop();
}

process.exitCode = await main();
