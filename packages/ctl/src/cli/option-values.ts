import * as command from './command.js';
import type * as context from './context.js';

/** Returns an option's text. */
export function getString(values: command.OptionValues, name: string): string | undefined {
	const value = values[name];
	return typeof value === 'string' ? value : undefined;
}

/** Returns the texts of an option that may be given several times. */
export function getStrings(values: command.OptionValues, name: string): readonly string[] {
	const value = values[name];
	return Array.isArray(value) ? value.filter(item => typeof item === 'string') : [];
}

/** Returns an option's HTTP URLs; it must be given. */
export function getUrls(values: command.OptionValues, name: string): readonly string[] {
	const urls = getStrings(values, name);
	if (urls.length === 0) {
		throw new command.UsageError(`--${name} URL is required`);
	}

	const malformed = urls.find(url => !/^https?:\/\//.test(url) || !URL.canParse(url));
	if (malformed !== undefined) {
		throw new command.UsageError(`--${name} ${malformed} is no HTTP URL`);
	}

	return urls;
}

/** Returns an option's whole number of at least 0. */
export function getCount(values: command.OptionValues, name: string): number | undefined {
	const text = getString(values, name);
	if (text !== undefined && !/^\d+$/.test(text)) {
		throw new command.UsageError(`--${name} ${text} is no whole number`);
	}

	return text === undefined ? undefined : Number(text);
}

/** Returns the one positional argument. */
export function getSinglePositional(positionals: readonly string[], what: string): string {
	const [first] = positionals;
	if (first === undefined || positionals.length > 1) {
		throw new command.UsageError(`expected one ${what}`);
	}

	return first;
}

/** Reads the operators' bearer key from the file that `--operator-key-file` names. */
export function readOperatorKey(values: command.OptionValues, ctx: context.CommandContext): string | undefined {
	const file = getString(values, 'operator-key-file');
	return file === undefined ? undefined : readInputFile(file, ctx).trim();
}

/** Reads a file; a failure is one of the command line. */
export function readInputFile(file: string, ctx: context.CommandContext): string {
	try {
		return ctx.readFile(file);
	} catch (err) {
		throw new command.UsageError(`can't read ${file}: ${err instanceof Error ? err.message : String(err)}`);
	}
}
