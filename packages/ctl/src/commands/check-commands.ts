import * as config from '@bluebellmast/config';
import type * as purify from 'purify-ts';
import type * as command from '../cli/command.js';
import type * as context from '../cli/context.js';
import * as exitCode from '../cli/exit-code.js';
import * as optionValues from '../cli/option-values.js';

type Parse = (file: string, text: string) => purify.Either<readonly config.document.FileFinding[], unknown>;

/** Prints findings, one per line, and their number. */
export function printFindings(findings: readonly config.document.FileFinding[], ctx: context.CommandContext): void {
	for (const finding of findings) {
		ctx.print(config.document.formatFinding(finding));
	}

	ctx.warn(`${findings.length} findings`);
}

/** Checks a manifest file. */
export const checkCommand: command.Command = createCheckCommand('check', 'Prints all findings of a manifest file.', config.manifest.parseManifest);

/** Checks a router's settings file. */
export const checkSettingsCommand: command.Command = createCheckCommand(
	'check-settings',
	'Prints all findings of a router\'s settings file.',
	config.settings.parseSettings,
);

function createCheckCommand(name: string, summary: string, parse: Parse): command.Command {
	return {
		name,
		usage: 'FILE',
		summary,
		options: {},
		async run(_values, positionals, ctx) {
			const file = optionValues.getSinglePositional(positionals, 'FILE');
			const result = parse(file, optionValues.readInputFile(file, ctx));
			if (result.isLeft()) {
				printFindings(result.extract(), ctx);
				return exitCode.ExitCode.Findings;
			}

			ctx.print(`${file}: no findings`);
			return exitCode.ExitCode.Ok;
		},
	};
}
