import * as command from './command.js';
import type * as context from './context.js';

/** Returns the value of a string option. */
export function getString(values: command.OptionValues, name: string): string | undefined {
	const value = values[name];
	return typeof value === 'string' ? value : undefined;
}

/** Returns the values of a string option that may be repeated. */
export function getStrings(values: command.OptionValues, name: string): readonly string[] {
	const value = values[name];
	return Array.isArray(value) ? value.filter(item => typeof item === 'string') : [];
}

/**
 * Returns the values of a required, repeatable option whose values are HTTP URLs.
 *
 * @throws UsageError when the option is missing or a value is not an HTTP URL.
 */
export function getUrls(values: command.OptionValues, name: string): readonly string[] {
	const urls = getStrings(values, name);
	if (urls.length === 0) {
		throw new command.UsageError(`--${name} URL is required`);
	}

	const malformed = urls.find(url => !/^https?:\/\//.test(url) || !URL.canParse(url));
	if (malformed !== undefined) {
		throw new command.UsageError(`--${name} ${malformed} is not an HTTP URL`);
	}

	return urls;
}

/**
 * Returns the value of an option that is an integer of at least 0.
 *
 * @throws UsageError when the value is not such a number.
 */
export function getCount(values: command.OptionValues, name: string): number | undefined {
	const text = getString(values, name);
	if (text !== undefined && !/^\d+$/.test(text)) {
		throw new command.UsageError(`--${name} ${text} is not an integer of at least 0`);
	}

	return text === undefined ? undefined : Number(text);
}

/**
 * Returns the only positional argument.
 *
 * @throws UsageError when there is none or more than one.
 */
export function getSinglePositional(positionals: readonly string[], argumentName: string): string {
	const [first] = positionals;
	if (first === undefined || positionals.length > 1) {
		throw new command.UsageError(`expected exactly one ${argumentName}`);
	}

	return first;
}

/** Reads the operators' bearer key from the file that `--operator-key-file` names. */
export function readOperatorKey(values: command.OptionValues, ctx: context.CommandContext): string | undefined {
	const file = getString(values, 'operator-key-file');
	return file === undefined ? undefined : readInputFile(file, ctx).trim();
}

/**
 * Reads a file that is named on the command line.
 *
 * @throws UsageError when it can't be read.
 */
export function readInputFile(file: string, ctx: context.CommandContext): string {
	try {
		return ctx.readFile(file);
	} catch (err) {
		throw new command.UsageError(`can't read ${file}: ${err instanceof Error ? err.message : String(err)}`);
	}
}
