import * as calm from './calm.js';
import * as configsInForce from './configs-in-force.js';
import * as records from './platform-records.js';

const check = 'configuration';
/** Statuses that say that the configuration does not allow a request. */
const deniedStatuses = new Set([401, 403, 404]);

/** Checks that revoked keys and old configurations are out of force in time, and that no allowed request is denied; returns the findings. */
export function checkConfigs(record: records.PlatformRecord): records.Finding[] {
	const executionsById = new Set(record.executions.map(({requestId}) => requestId));
	return record.exchanges.flatMap(exchange => {
		const problem = executionsById.has(exchange.requestId) ? findExecutedProblem(record, exchange) : findDeniedProblem(record, exchange);
		return problem === undefined ? [] : [{check, requestId: exchange.requestId, text: `${exchange.gateway}: ${problem}`}];
	});
}

/** A revoked key binds all gateways, in touch or not; other changes bind those in touch. */
function findExecutedProblem(record: records.PlatformRecord, exchange: records.Exchange): string | undefined {
	if (configsInForce.listConfigsInForce(record, exchange, record.bounds.revocationMs).every(config => !hasKey(config, exchange))) {
		return `executed with the key ${exchange.key}, which was revoked more than ${record.bounds.revocationMs} ms before`;
	}

	if (!calm.isInTouch(record, exchange.gateway, exchange.sentAt, exchange.sentAt)) {
		return undefined;
	}

	const configs = configsInForce.listConfigsInForce(record, exchange, record.bounds.configPropagationMs);
	return configs.every(config => !isAllowed(config, exchange))
		? `executed on the route ${exchange.route} with the key ${exchange.key}, as only a configuration allows that was replaced more than ${record.bounds.configPropagationMs} ms before`
		: undefined;
}

function findDeniedProblem(record: records.PlatformRecord, exchange: records.Exchange): string | undefined {
	if (exchange.end !== records.ExchangeEnd.Complete || !deniedStatuses.has(exchange.status ?? 0)) {
		return undefined;
	}

	const isBound = calm.isInTouch(record, exchange.gateway, exchange.sentAt, exchange.sentAt);
	const configs = isBound ? configsInForce.listConfigsInForce(record, exchange, record.bounds.configPropagationMs) : record.configs;
	return configs.every(config => isAllowed(config, exchange))
		? `denied with ${exchange.status} on the route ${exchange.route} with the key ${exchange.key}, which every configuration that may be in force allows`
		: undefined;
}

function isAllowed(config: records.AcknowledgedConfig, exchange: records.Exchange): boolean {
	return config.routes.includes(exchange.route) && hasKey(config, exchange);
}

/** Returns whether a configuration has the key of a request, or the request needs none. */
function hasKey(config: records.AcknowledgedConfig, {key}: records.Exchange): boolean {
	return key === '' || key in config.accounts;
}
