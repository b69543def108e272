import * as util from 'node:util';
import * as purify from 'purify-ts';

/** Command to run. */
export enum CommandType {
	Run = 'run',
	Check = 'check',
	PrintSettings = 'print_settings',
	Help = 'help',
	Version = 'version',
}

/** A command and the path of its settings file, which is empty for commands without one. */
export type Command = {
	readonly type: CommandType;
	readonly settingsFile: string;
};

/** Text of `--help`. */
export const helpText = `bluebellmast: routes requests to language-model engines and plain services

Usage:
  bluebellmast --settings FILE            run the router
  bluebellmast --check --settings FILE    print all findings in the settings and exit
  bluebellmast --print-settings           print all settings with their defaults and exit
  bluebellmast --help | --version

SIGTERM and SIGINT start a graceful shutdown: requests in flight are completed.

Exit status: 0 success, 1 the settings have findings, 2 malformed command line, 3 cannot listen.
`;

/** Parses the command line. Returns a message if it is malformed. */
export function parseCommandLine(argv: readonly string[]): purify.Either<string, Command> {
	return purify.Either.encase(() => util.parseArgs({
		args: [...argv],
		options: {
			settings: {type: 'string'},
			check: {type: 'boolean', default: false},
			'print-settings': {type: 'boolean', default: false},
			help: {type: 'boolean', default: false},
			version: {type: 'boolean', default: false},
		},
	}).values)
		.mapLeft(err => err.message)
		.chain(values => {
			if (values.help) {
				return purify.Right({type: CommandType.Help, settingsFile: ''});
			}

			if (values.version) {
				return purify.Right({type: CommandType.Version, settingsFile: ''});
			}

			if (values['print-settings']) {
				return purify.Right({type: CommandType.PrintSettings, settingsFile: ''});
			}

			return values.settings === undefined
				? purify.Left('--settings FILE is required; see --help')
				: purify.Right({type: values.check ? CommandType.Check : CommandType.Run, settingsFile: values.settings});
		});
}
