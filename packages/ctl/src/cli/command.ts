import type * as util from 'node:util';
import type * as context from './context.js';
import type * as exitCode from './exit-code.js';

/** Definitions of the options of a command, as `util.parseArgs` takes them. */
export type OptionDefinitions = NonNullable<util.ParseArgsConfig['options']>;

/** Values of a command's options, by name. */
export type OptionValues = Readonly<Record<string, string | boolean | ReadonlyArray<string | boolean> | undefined>>;

/** A command of the tool. */
export interface Command { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	readonly name: string;
	/** Arguments and options, as `--help` shows them. */
	readonly usage: string;
	readonly summary: string;
	readonly options: OptionDefinitions;
	run(values: OptionValues, positionals: readonly string[], ctx: context.CommandContext): Promise<exitCode.ExitCode>;
}

/** Thrown when the command line is malformed or a file can't be read. */
export class UsageError extends Error {}
