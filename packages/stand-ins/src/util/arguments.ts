import * as util from 'node:util';

/** Command-line arguments of every stand-in (a fake of an outside system for tests and benchmarks). */
export type CommonArguments = {
	readonly host: string;
	readonly port: number;
	/** Port for fault injection and records. */
	readonly faultPort: number;
	readonly seed: number;
	/** Values of the other arguments, by name. */
	readonly extra: Readonly<Record<string, string>>;
};

/** Parses the command line; arguments other than the common ones must be listed in `extraNames`. */
export function parseArguments(args: readonly string[], extraNames: readonly string[] = []): CommonArguments {
	const {values} = util.parseArgs({
		args: [...args],
		options: {
			host: {type: 'string', default: '127.0.0.1'},
			port: {type: 'string', default: '0'},
			'fault-port': {type: 'string', default: '0'},
			seed: {type: 'string', default: '1'},
			...Object.fromEntries(extraNames.map(name => [name, {type: 'string' as const}])),
		},
	});
	const texts = values as Record<string, string>;
	return {
		host: texts.host!,
		port: Number(texts.port),
		faultPort: Number(texts['fault-port']),
		seed: Number(texts.seed),
		extra: Object.fromEntries(extraNames.filter(name => texts[name] !== undefined).map(name => [name, texts[name]!])),
	};
}

/** Returns an argument in `extra` as a number, or `undefined` when it is absent. */
export function numberArgument(args: CommonArguments, name: string): number | undefined {
	const text = args.extra[name];
	return text === undefined ? undefined : Number(text);
}
