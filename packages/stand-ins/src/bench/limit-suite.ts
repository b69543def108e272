import * as limitDays from './limit-days.js';
import * as limitModel from './limit-model.js';

const tokensPerMillion = 1_000_000;

/** Prints a Markdown table with the engines' capacity, the needed tokens and the maximum share of credit for each day. */
export function runLimitSuite(): void {
	console.log('| day | capacity, M tokens | needed | of capacity | credit at most | served of each kind |');
	console.log('| --- | --- | --- | --- | --- | --- |');
	for (const day of limitDays.limitDays) {
		console.log(formatRow(limitModel.computeLimit(day)));
	}
}

function formatRow(limit: limitModel.DayLimit): string {
	const kinds = limit.kinds.map(({name, servedShare}) => `${name} ${servedShare.toFixed(2)}`);
	const capacity = limit.capacityTokens / tokensPerMillion;
	const cells = [
		limit.name,
		capacity.toFixed(1),
		(capacity * limit.utilization).toFixed(1),
		limit.utilization.toFixed(2),
		limit.creditShare.toFixed(2),
		kinds.join(', '),
	];
	return `| ${cells.join(' | ')} |`;
}
