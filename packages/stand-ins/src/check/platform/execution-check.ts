import * as records from './platform-records.js';

/** Checks what was executed against what clients sent and were told; returns the findings. */
export function checkExecutions(record: records.PlatformRecord): records.Finding[] {
	const exchangesById = new Map(record.exchanges.map(exchange => [exchange.requestId, exchange]));
	const executionsById = new Map<string, records.Execution[]>();
	for (const execution of record.executions) {
		executionsById.set(execution.requestId, [...executionsById.get(execution.requestId) ?? [], execution]);
	}

	return [...executionsById].flatMap(([requestId, executions]) => {
		const exchange = exchangesById.get(requestId);
		const problems = exchange === undefined
			? ['a request was executed that no client sent']
			: findProblems(exchange, executions, record);
		return problems.map(text => ({check: 'executions', requestId, text}));
	});
}

function findProblems(exchange: records.Exchange, executions: readonly records.Execution[], record: records.PlatformRecord): string[] {
	const problems: string[] = [];
	const servers = executions.map(({server}) => server).join(', ');
	if (!records.isIdempotent(exchange.kind) && executions.length > 1) {
		problems.push(`a ${exchange.kind} request was executed ${executions.length} times, at ${servers}`);
	}

	if (exchange.end === records.ExchangeEnd.Complete && records.isRefusalStatus(exchange.status)) {
		problems.push(`a ${exchange.kind} request was refused with ${exchange.status} and executed at ${servers}`);
	}

	if (executions.some(({path, body}) => path !== exchange.path || body !== exchange.body)) {
		problems.push('the path or body was changed');
	}

	if (executions.some(({hasKey}) => hasKey)) {
		problems.push('the API key was passed on');
	}

	if (executions.some(({account}) => record.configs.every(config => config.accounts[exchange.key] !== account))) {
		problems.push('a server was told an account that never held the key');
	}

	return problems;
}
