import type * as runResult from './run-result.js';

const barWidth = 360;
const rowHeight = 18;
const labelWidth = 260;

/** Renders the runs of a suite as an HTML page with bar charts. */
export function renderPage(results: readonly runResult.RunResult[]): string {
	const groups = new Map<string, runResult.RunResult[]>();
	for (const result of results) {
		const name = `${result.deployment}, load ${result.load}, fault ${result.fault}`;
		groups.set(name, [...(groups.get(name) ?? []), result]);
	}

	const sections = [...groups].map(([name, group]) => [
		`<h2>${name}</h2>`,
		renderBars('Time to first token, p99 (ms)', group, result => result.firstTokenP99Ms),
		renderBars('Wasted tokens per request', group, result => result.wastedTokensPerRequest),
		renderBars('Prefix hit rate (%)', group, result => result.hitRate * 100),
	].join('\n'));
	return [
		'<!doctype html>',
		'<meta charset="utf-8">',
		'<title>Placement</title>',
		'<style>body{font-family:sans-serif}text{font-size:12px}rect{fill:#47a}</style>',
		...sections,
		'',
	].join('\n');
}

function renderBars(
	title: string,
	group: readonly runResult.RunResult[],
	valueOf: (result: runResult.RunResult) => number,
): string {
	const largest = Math.max(1e-9, ...group.map(result => valueOf(result)));
	const bars = group.map((result, index) => {
		const y = (index + 1) * rowHeight;
		const width = valueOf(result) / largest * barWidth;
		return `<text x="0" y="${y + 13}">${result.policy}</text>`
			+ `<rect x="${labelWidth}" y="${y + 2}" width="${width.toFixed(1)}" height="${rowHeight - 4}"/>`
			+ `<text x="${labelWidth + width + 6}" y="${y + 13}">${valueOf(result).toFixed(1)}</text>`;
	});
	const height = (group.length + 1) * rowHeight;
	return `<svg width="${labelWidth + barWidth + 90}" height="${height}"><text x="0" y="13">${title}</text>${bars.join('')}</svg>`;
}
