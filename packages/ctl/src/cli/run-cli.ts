import * as util from 'node:util';
import * as commands from '../commands/index.js';
import * as command from './command.js';
import type * as context from './context.js';
import * as exitCode from './exit-code.js';
import * as version from './version.js';

const exitCodeDescriptions: Readonly<Record<exitCode.ExitCode, string>> = {
	[exitCode.ExitCode.Ok]: 'success',
	[exitCode.ExitCode.Findings]: 'a file has findings, or nothing was found',
	[exitCode.ExitCode.Usage]: 'malformed command line, or a file can\'t be read',
	[exitCode.ExitCode.Refused]: 'the change was refused, for example because another was accepted first; nothing was changed',
	[exitCode.ExitCode.Unreachable]: 'the key-value service or a router can\'t be reached; a change was not accepted',
	[exitCode.ExitCode.OutcomeUnknown]: 'it is not known whether the change was accepted',
	[exitCode.ExitCode.NotConfirmed]: 'the change was accepted, but not all routers have confirmed it',
};

/** Runs the command that the first argument names, and returns the exit status. */
export async function runCli(argv: readonly string[], ctx: context.CommandContext): Promise<exitCode.ExitCode> {
	const [name, ...rest] = argv;
	if (name === '--version') {
		ctx.print(version.toolVersion);
		return exitCode.ExitCode.Ok;
	}

	if (name === '--help' || name === undefined) {
		ctx.print(renderHelp());
		return name === undefined ? exitCode.ExitCode.Usage : exitCode.ExitCode.Ok;
	}

	const chosen = commands.allCommands.find(known => known.name === name);
	if (chosen === undefined) {
		ctx.warn(`unknown command '${name}'; see --help`);
		return exitCode.ExitCode.Usage;
	}

	return runCommand(chosen, rest, ctx);
}

async function runCommand(chosen: command.Command, args: readonly string[], ctx: context.CommandContext): Promise<exitCode.ExitCode> {
	if (args.includes('--help')) {
		ctx.print(`bluebellmastctl ${chosen.name} ${chosen.usage}\n\n${chosen.summary}`);
		return exitCode.ExitCode.Ok;
	}

	try {
		const {values, positionals} = parseArguments(chosen, args);
		return await chosen.run(values, positionals, ctx);
	} catch (err) {
		if (err instanceof command.UsageError) {
			ctx.warn(`bluebellmastctl ${chosen.name}: ${err.message}`);
			return exitCode.ExitCode.Usage;
		}

		throw err;
	}
}

function parseArguments(chosen: command.Command, args: readonly string[]) {
	try {
		return util.parseArgs({args: [...args], options: chosen.options, allowPositionals: true});
	} catch (err) {
		throw new command.UsageError(err instanceof Error ? err.message : String(err));
	}
}

function renderHelp(): string {
	const lines = commands.allCommands.flatMap(known => [`  ${known.name} ${known.usage}`, `      ${known.summary}`]);
	const statuses = Object.entries(exitCodeDescriptions).map(([code, text]) => `  ${code} ${text}`);
	return [
		'bluebellmastctl: checks settings and manifest files, changes the manifest and shows the state of routers',
		'',
		'Commands:',
		...lines,
		'',
		'  --help | --version',
		'',
		'Exit status:',
		...statuses,
	].join('\n');
}
