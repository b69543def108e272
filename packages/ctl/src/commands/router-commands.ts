import type * as wire from '@bluebellmast/wire';
import type * as command from '../cli/command.js';
import type * as context from '../cli/context.js';
import * as exitCode from '../cli/exit-code.js';
import * as optionValues from '../cli/option-values.js';
import * as textTable from '../cli/text-table.js';
import type * as routerClient from '../routers/router-client.js';

/** Options of all commands that query routers. */
export const routerOptions = {
	router: {type: 'string', multiple: true},
	'operator-key-file': {type: 'string'},
} as const satisfies command.OptionDefinitions;

/** Usage text of `routerOptions`. */
export const routerUsage = '--router URL... [--operator-key-file FILE]';

/** Creates a client for each router that the options name. */
export function createRouterClients(values: command.OptionValues, ctx: context.CommandContext): readonly routerClient.RouterClient[] {
	const key = optionValues.readOperatorKey(values, ctx);
	return optionValues.getUrls(values, 'router').map(url => ctx.createRouterClient(url, key));
}

/** Returns the status of all routers that respond; prints a warning for each other. */
async function fetchStatuses(routers: readonly routerClient.RouterClient[], ctx: context.CommandContext): Promise<readonly wire.http.RouterStatus[]> {
	const results = await Promise.all(routers.map(async router => {
		const result = await router.status();
		return result.ifLeft(reason => {
			ctx.warn(`no response from ${router.url}: ${reason}`);
		}).toMaybe().extract();
	}));
	return results.filter(status => status !== undefined);
}

/** Prints a line for each router. */
export const statusCommand: command.Command = {
	name: 'status',
	usage: routerUsage,
	summary: 'Shows the state of each router.',
	options: routerOptions,
	async run(values: command.OptionValues, _positionals: readonly string[], ctx: context.CommandContext): Promise<exitCode.ExitCode> {
		const routers = createRouterClients(values, ctx);
		const statuses = await fetchStatuses(routers, ctx);
		ctx.print(textTable.formatTable(statuses.map(status => ({
			vm: status.vm,
			dataCentre: status.dataCentre,
			generation: status.generation,
			confirmed: status.confirmed,
			ready: status.ready,
			stopping: status.stopping,
			requests: status.requestsUnderWay,
			members: status.members.length,
			incarnation: status.incarnation,
		}))));
		return statuses.length === routers.length ? exitCode.ExitCode.Ok : exitCode.ExitCode.Unreachable;
	},
};

/** Prints the state of the endpoints, as each router knows it. */
export const endpointsCommand: command.Command = {
	name: 'endpoints',
	usage: routerUsage,
	summary: 'Shows the state of the endpoints, as each router knows it.',
	options: routerOptions,
	async run(values: command.OptionValues, _positionals: readonly string[], ctx: context.CommandContext): Promise<exitCode.ExitCode> {
		const routers = createRouterClients(values, ctx);
		const statuses = await fetchStatuses(routers, ctx);
		ctx.print(textTable.formatTable(statuses.flatMap(({vm, endpoints}) => endpoints.map(endpoint => ({seenBy: vm, ...endpoint})))));
		return statuses.length === routers.length ? exitCode.ExitCode.Ok : exitCode.ExitCode.Unreachable;
	},
};
