import process from 'node:process';
import * as util from '../util/index.js';
import * as kv from './kv-stand-in.js';

const args = util.parseArguments(process.argv.slice(2), [
	'writes-per-second', 'reads-per-second', 'latency-ms', 'progress-ms', 'max-value-bytes',
]);
await util.runStandIn(kv.createKv({
	...args,
	writesPerSecond: util.numberArgument(args, 'writes-per-second'),
	readsPerSecond: util.numberArgument(args, 'reads-per-second'),
	latencyMs: util.numberArgument(args, 'latency-ms'),
	progressIntervalMs: util.numberArgument(args, 'progress-ms'),
	maxValueBytes: util.numberArgument(args, 'max-value-bytes'),
	onCrash: util.crashProcess,
}));
