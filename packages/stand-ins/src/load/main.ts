import * as fs from 'node:fs';
import process from 'node:process';
import * as util from 'node:util';
import * as loadGenerator from './load-generator.js';
import type * as loadOptions from './load-options.js';

const usage = `Usage: node load/main.js OPTIONS-FILE
Generates load with the options in a JSON file and prints the result as JSON.`;

const {values, positionals} = util.parseArgs({
	allowPositionals: true, options: {help: {type: 'boolean', default: false}},
});
const [file] = positionals;
if (values.help || file === undefined) {
	console.log(usage);
	process.exitCode = values.help ? 0 : 2;
} else {
	const options = JSON.parse(fs.readFileSync(file, 'utf8')) as loadOptions.LoadOptions;
	console.log(JSON.stringify(await loadGenerator.runLoad(options), undefined, '\t'));
}
