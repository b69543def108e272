import type * as core from '@bluebellmast/core';
import * as changeWriter from '../change/change-writer.js';
import type * as command from '../cli/command.js';
import type * as context from '../cli/context.js';
import * as exitCode from '../cli/exit-code.js';
import * as optionValues from '../cli/option-values.js';
import * as waitForGeneration from '../routers/wait-for-generation.js';

const defaultWaitTimeoutMs = 10_000;
const defaultWaitPollMs = 200;

/** Options of all commands that change the manifest. */
export const changeOptions = {
	kv: {type: 'string', multiple: true},
	wait: {type: 'boolean'},
	router: {type: 'string', multiple: true},
	'operator-key-file': {type: 'string'},
	'wait-timeout-ms': {type: 'string'},
	'change-id': {type: 'string'},
} as const satisfies command.OptionDefinitions;

/** Usage text of `changeOptions`. */
export const changeUsage = '[--wait --router URL... [--operator-key-file FILE] [--wait-timeout-ms N]] [--change-id ID]';

const exitCodes: Readonly<Record<changeWriter.SubmitResultType, exitCode.ExitCode>> = {
	[changeWriter.SubmitResultType.Accepted]: exitCode.ExitCode.Ok,
	[changeWriter.SubmitResultType.Refused]: exitCode.ExitCode.Refused,
	[changeWriter.SubmitResultType.NotAccepted]: exitCode.ExitCode.Unreachable,
	[changeWriter.SubmitResultType.Unknown]: exitCode.ExitCode.OutcomeUnknown,
};

/** Called with the result of a change before the key-value client is closed. */
export type ResultListener = (result: changeWriter.SubmitResult, kv: context.ClosableKvClient) => Promise<void>;

/** Submits a change, prints its result, and with `--wait` waits until the routers have confirmed its generation. */
export async function submitChange(
	values: command.OptionValues,
	change: Omit<changeWriter.Change, 'changeId'> & {readonly verb: string},
	ctx: context.CommandContext,
	onResult: ResultListener = async () => undefined,
): Promise<exitCode.ExitCode> {
	const kv = ctx.createKv(optionValues.getUrls(values, 'kv'));
	const routers = createRoutersToWaitFor(values, ctx);
	const changeId = optionValues.getString(values, 'change-id') ?? `${change.verb}:${ctx.operator}:${ctx.createId()}`;
	try {
		const writer = new changeWriter.ChangeWriter({kv, sleep: ctx.sleep}, {...change, changeId});
		const result = await writer.submit();
		reportResult(result, changeId, change.verb, ctx);
		await onResult(result, kv);
		return result.generation === undefined || routers.length === 0
			? exitCodes[result.type]
			: await waitAndReport(values, routers, result.generation, ctx);
	} finally {
		await kv.close();
	}
}

function reportResult(result: changeWriter.SubmitResult, changeId: string, verb: string, ctx: context.CommandContext): void {
	const line = `${verb} (change ${changeId}): ${result.message}`;
	if (result.type === changeWriter.SubmitResultType.Accepted) {
		ctx.print(line);
		return;
	}

	ctx.warn(line);
	if (result.type === changeWriter.SubmitResultType.Unknown) {
		ctx.warn(`run the command again with --change-id ${changeId} to find out; the change is not accepted twice`);
	}
}

function createRoutersToWaitFor(values: command.OptionValues, ctx: context.CommandContext) {
	if (values.wait !== true) {
		return [];
	}

	const key = optionValues.readOperatorKey(values, ctx);
	return optionValues.getUrls(values, 'router').map(url => ctx.createRouterClient(url, key));
}

async function waitAndReport(
	values: command.OptionValues,
	routers: ReturnType<typeof createRoutersToWaitFor>,
	generation: core.model.Generation,
	ctx: context.CommandContext,
): Promise<exitCode.ExitCode> {
	const timeoutMs = optionValues.getCount(values, 'wait-timeout-ms') ?? defaultWaitTimeoutMs;
	const progress = await waitForGeneration.waitForGeneration(routers, {generation, timeoutMs, pollMs: defaultWaitPollMs}, ctx);
	const unconfirmed = progress.filter(router => !router.confirmed);
	for (const {url, confirmed, detail} of progress) {
		ctx.print(`${confirmed ? 'confirmed' : 'NOT CONFIRMED'} ${url}: ${detail}`);
	}

	ctx.print(`${progress.length - unconfirmed.length} of ${progress.length} routers have confirmed generation ${generation}`);
	return unconfirmed.length === 0 ? exitCode.ExitCode.Ok : exitCode.ExitCode.NotConfirmed;
}
