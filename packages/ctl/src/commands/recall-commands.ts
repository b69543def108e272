import * as config from '@bluebellmast/config';
import * as core from '@bluebellmast/core';
import type * as changeWriter from '../change/change-writer.js';
import * as readManifest from '../change/read-manifest.js';
import * as command from '../cli/command.js';
import type * as context from '../cli/context.js';
import type * as exitCode from '../cli/exit-code.js';
import * as optionValues from '../cli/option-values.js';
import * as changeCommand from './change-command.js';

/** Recalls batches, based on whichever generation is active. */
export const recallCommand: command.Command = {
	name: 'recall',
	usage: `--kv URL... BATCH... ${changeCommand.changeUsage}`,
	summary: 'Recalls batches such as model:x@v or adapter:x@v; a later apply does not undo it.',
	options: changeCommand.changeOptions,
	async run(values: command.OptionValues, positionals: readonly string[], ctx: context.CommandContext): Promise<exitCode.ExitCode> {
		const batches = parseBatches(positionals);
		return changeCommand.submitChange(values, {
			verb: 'recall',
			rebasesOnConflict: true,
			propose: (head, changeId) => config.manifest.proposeRecall(head, batches, changeId),
		}, ctx, async (result, kv) => {
			await warnAboutUnlisted(result, kv, batches, ctx);
		});
	},
};

/** Reinstates recalled batches. */
export const reinstateCommand: command.Command = {
	name: 'reinstate',
	usage: `--kv URL... BATCH... [--made-from N] ${changeCommand.changeUsage}`,
	summary: 'Reinstates recalled batches; refused when another change is accepted first, so that it never undoes a later recall.',
	options: {...changeCommand.changeOptions, 'made-from': {type: 'string'}},
	async run(values: command.OptionValues, positionals: readonly string[], ctx: context.CommandContext): Promise<exitCode.ExitCode> {
		const batches = parseBatches(positionals);
		let madeFrom = optionValues.getCount(values, 'made-from');
		return changeCommand.submitChange(values, {
			verb: 'reinstate',
			rebasesOnConflict: false,
			propose(head, changeId) {
				madeFrom ??= head?.generation ?? 0;
				return config.manifest.proposeReinstate(head, batches, {changeId, madeFrom});
			},
		}, ctx);
	},
};

function parseBatches(positionals: readonly string[]): readonly core.model.BatchKey[] {
	if (positionals.length === 0) {
		throw new command.UsageError('expected at least one BATCH');
	}

	const malformed = positionals.filter(text => core.model.parseBatch(text) === undefined);
	if (malformed.length > 0) {
		throw new command.UsageError(`expected model:ID@VERSION or adapter:ID@VERSION, not ${malformed.join(', ')}`);
	}

	return positionals;
}

/** Warns about recalled batches that the manifest does not list, since they may be typing errors. */
async function warnAboutUnlisted(
	result: changeWriter.SubmitResult,
	kv: context.ClosableKvClient,
	batches: readonly core.model.BatchKey[],
	ctx: context.CommandContext,
): Promise<void> {
	const manifest = result.generation === undefined || result.head === undefined ? undefined : await readManifest.readManifest(kv, result.head);
	if (manifest === undefined) {
		return;
	}

	const listed = new Set([
		...manifest.models.flatMap(({id, versions}) => versions.map(version => core.model.formatBatch({kind: core.model.BatchKind.Model, id, version}))),
		...manifest.adapters.flatMap(({id, versions}) => versions.map(version => core.model.formatBatch({kind: core.model.BatchKind.Adapter, id, version}))),
	]);
	for (const batch of batches.filter(key => !listed.has(key))) {
		ctx.warn(`note: ${batch} is recalled, but the active manifest does not list it`);
	}
}
