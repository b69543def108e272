import process from 'node:process';
import * as util from '../util/index.js';
import * as plainService from './plain-service-stand-in.js';

const args = util.parseArguments(process.argv.slice(2), ['name', 'latency-ms', 'record-file']);
await util.runStandIn(plainService.createPlainService({
	...args,
	name: args.extra.name,
	latencyMs: util.numberArgument(args, 'latency-ms'),
	recordFile: args.extra['record-file'],
	onCrash: util.crashProcess,
}));
