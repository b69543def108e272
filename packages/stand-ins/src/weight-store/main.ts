import process from 'node:process';
import * as util from '../util/index.js';
import * as weightStore from './weight-store-stand-in.js';

const args = util.parseArguments(process.argv.slice(2), ['load-ms', 'max-concurrent-loads']);
await util.runStandIn(weightStore.createWeightStore({
	...args,
	loadMs: util.numberArgument(args, 'load-ms'),
	maxConcurrentLoads: util.numberArgument(args, 'max-concurrent-loads'),
	onCrash: util.crashProcess,
}));
