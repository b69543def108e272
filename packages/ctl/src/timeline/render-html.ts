import type * as core from '@bluebellmast/core';
import * as describeEvent from './describe-event.js';

const style = `body{font:13px sans-serif;margin:1em}
table{border-collapse:collapse}
th{position:sticky;top:0;background:#eee;text-align:left}
td,th{padding:2px 6px;border-left:1px solid #ccc;vertical-align:top}
td.time{white-space:nowrap;font-family:monospace;color:#555}
td.event{background:#e8f0fe;border-top:1px solid #fff}
td.fault{background:#fde2e0}
td.state{background:#e3f4e1}`;

const faultPattern = /lost|refused|unconfirmed|broken|gap|slow/;
const statePattern = /^(router|manifest|batch|member|endpoint|lease|order|kv)_/;

/** Renders events as a self-contained HTML page: a table with a row for each event and a column for each VM. */
export function renderHtml(events: readonly core.timeline.TimelineEvent[]): string {
	const vms = [...new Set(events.map(event => event.vm))].sort();
	const head = vms.map(vm => `<th>${escapeHtml(vm)}</th>`).join('');
	return [
		'<!DOCTYPE html>',
		'<html lang="en"><head><meta charset="utf-8"><title>bluebellmast timeline</title>',
		`<style>${style}</style></head><body>`,
		`<h1>Timeline</h1><p>${events.length} events of ${vms.length} VMs</p>`,
		`<table><thead><tr><th>Time (UTC)</th>${head}</tr></thead><tbody>`,
		...events.map(event => renderRow(event, vms)),
		'</tbody></table></body></html>',
		'',
	].join('\n');
}

function renderRow(event: core.timeline.TimelineEvent, vms: readonly string[]): string {
	const cells = vms.map(vm => vm === event.vm
		? `<td class="event ${classOf(event.type)}">${escapeHtml(describeEvent.describeEvent(event))}</td>`
		: '<td></td>');
	return `<tr><td class="time">${escapeHtml(describeEvent.formatTime(event))}</td>${cells.join('')}</tr>`;
}

function classOf(type: string): string {
	if (faultPattern.test(type)) {
		return 'fault';
	}

	return statePattern.test(type) ? 'state' : 'request';
}

function escapeHtml(text: string): string {
	return text
		.replaceAll('&', '&amp;')
		.replaceAll('<', '&lt;')
		.replaceAll('>', '&gt;')
		.replaceAll('"', '&quot;')
		.replaceAll('\'', '&#39;');
}
