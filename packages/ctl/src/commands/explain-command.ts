import * as core from '@bluebellmast/core';
import type * as command from '../cli/command.js';
import * as exitCode from '../cli/exit-code.js';
import * as optionValues from '../cli/option-values.js';
import * as renderRequestTrace from '../timeline/render-request-trace.js';

const stdinFileName = '-';

/** Prints the log lines of one request from the logs of gateways. */
export const explainCommand: command.Command = {
	name: 'explain',
	usage: 'REQUEST_ID [LOG_FILE ...]',
	summary: 'Prints the log lines of a request from all VMs in order, and the state of each VM when it arrived. Reads standard input if no files are given.',
	options: {},
	async run(_values, positionals, ctx) {
		const [request, ...files] = positionals;
		const id = optionValues.getSinglePositional(request === undefined ? [] : [request], 'REQUEST_ID');
		const texts = (files.length === 0 ? [stdinFileName] : files).map(file => optionValues.readInputFile(file, ctx));
		const rows = texts.flatMap(text => text.split('\n')).filter(row => row.trim() !== '');
		const lines = rows.map(row => core.log.parseLogLine(row)).filter(line => line !== undefined);
		if (lines.length < rows.length) {
			ctx.warn(`${rows.length - lines.length} of ${rows.length} lines are not gateway log lines`);
		}

		const trace = core.log.explainRequest(lines, id);
		ctx.print(renderRequestTrace.renderRequestTrace(trace));
		return trace.lines.length === 0 ? exitCode.ExitCode.Findings : exitCode.ExitCode.Ok;
	},
};
