import * as core from '@bluebellmast/core';
import type * as command from '../cli/command.js';
import type * as context from '../cli/context.js';
import * as exitCode from '../cli/exit-code.js';
import * as optionValues from '../cli/option-values.js';
import type * as routerClient from '../routers/router-client.js';
import * as renderHtml from '../timeline/render-html.js';
import * as renderText from '../timeline/render-text.js';
import * as routerCommands from './router-commands.js';

/** Prints the events of all routers, merged in order. */
export const timelineCommand: command.Command = {
	name: 'timeline',
	usage: `${routerCommands.routerUsage} [--request ID] [--endpoint ID] [--account ID] [--generation N] [--html FILE]`,
	summary: 'Shows the events of all routers, merged in order, as text or as an HTML page.',
	options: {
		...routerCommands.routerOptions,
		request: {type: 'string'},
		endpoint: {type: 'string'},
		account: {type: 'string'},
		generation: {type: 'string'},
		html: {type: 'string'},
	},
	async run(values: command.OptionValues, _positionals: readonly string[], ctx: context.CommandContext): Promise<exitCode.ExitCode> {
		const routers = routerCommands.createRouterClients(values, ctx);
		const filter = readFilter(values);
		const parts = await Promise.all(routers.map(async router => fetchEvents(router, filter, ctx)));
		const eventLists = parts.filter(part => part !== undefined);
		const events = core.timeline.mergeEvents(eventLists);
		const file = optionValues.getString(values, 'html');
		if (file === undefined) {
			ctx.print(renderText.renderText(events));
		} else {
			ctx.writeFile(file, renderHtml.renderHtml(events));
			ctx.print(`${events.length} events written to ${file}`);
		}

		return eventLists.length === routers.length ? exitCode.ExitCode.Ok : exitCode.ExitCode.Unreachable;
	},
};

async function fetchEvents(router: routerClient.RouterClient, filter: core.timeline.TimelineFilter, ctx: context.CommandContext) {
	const result = await router.timeline(filter);
	return result.ifLeft(reason => {
		ctx.warn(`no response from ${router.url}: ${reason}`);
	}).toMaybe().extract();
}

function readFilter(values: command.OptionValues): core.timeline.TimelineFilter {
	const requestId = optionValues.getString(values, 'request');
	const endpoint = optionValues.getString(values, 'endpoint');
	const account = optionValues.getString(values, 'account');
	const generation = optionValues.getCount(values, 'generation');
	return {
		...(requestId !== undefined && {requestId}),
		...(endpoint !== undefined && {endpoint}),
		...(account !== undefined && {account}),
		...(generation !== undefined && {generation}),
	};
}
