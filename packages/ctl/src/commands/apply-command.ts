import * as config from '@bluebellmast/config';
import type * as core from '@bluebellmast/core';
import type * as changeWriter from '../change/change-writer.js';
import * as readManifest from '../change/read-manifest.js';
import type * as command from '../cli/command.js';
import type * as context from '../cli/context.js';
import * as exitCode from '../cli/exit-code.js';
import * as optionValues from '../cli/option-values.js';
import * as changeCommand from './change-command.js';
import * as checkCommands from './check-commands.js';

/** Makes a manifest file the active manifest. */
export const applyCommand: command.Command = {
	name: 'apply',
	usage: `--kv URL... FILE [--made-from N] ${changeCommand.changeUsage}`,
	summary: 'Makes a manifest file the active manifest; refused when the file is based on a generation that is not the active one.',
	options: {...changeCommand.changeOptions, 'made-from': {type: 'string'}},
	async run(values: command.OptionValues, positionals: readonly string[], ctx: context.CommandContext): Promise<exitCode.ExitCode> {
		const file = optionValues.getSinglePositional(positionals, 'FILE');
		const parsed = config.manifest.parseManifest(file, optionValues.readInputFile(file, ctx));
		if (parsed.isLeft()) {
			checkCommands.printFindings(parsed.extract(), ctx);
			return exitCode.ExitCode.Findings;
		}

		const {content, madeFrom} = parsed.unsafeCoerce();
		const base = optionValues.getCount(values, 'made-from') ?? madeFrom;
		return changeCommand.submitChange(values, createChange(content, base), ctx, async (result, kv) => {
			await printDifferences(result, kv, content, ctx);
		});
	},
};

/** Creates the change; without a base generation it is based on the first head that is read. */
function createChange(content: config.manifest.ManifestContent, madeFrom: core.model.Generation | undefined) {
	let base = madeFrom;
	return {
		verb: 'apply',
		rebasesOnConflict: false,
		propose(head: core.manifest.ManifestHead | undefined, changeId: string) {
			base ??= head?.generation ?? 0;
			return config.manifest.proposeApply(head, content, {changeId, madeFrom: base});
		},
	};
}

/** Prints what a file that was refused as stale would change in the active manifest. */
async function printDifferences(
	result: changeWriter.SubmitResult,
	kv: context.ClosableKvClient,
	content: config.manifest.ManifestContent,
	ctx: context.CommandContext,
): Promise<void> {
	if (result.refusal !== config.manifest.ChangeRefusalCode.Stale || result.head === undefined) {
		return;
	}

	const activeManifest = await readManifest.readManifest(kv, result.head);
	if (activeManifest === undefined) {
		ctx.warn('the active manifest can\'t be read, so the differences are not shown');
		return;
	}

	const differences = config.manifest.describeDifferences(activeManifest, content);
	ctx.warn(`changes of the file to generation ${activeManifest.generation}: ${differences.length} entries`);
	for (const line of differences) {
		ctx.warn(`  ${line}`);
	}
}
