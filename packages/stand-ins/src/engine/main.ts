import process from 'node:process';
import * as util from '../util/index.js';
import * as engine from './engine-stand-in.js';

const args = util.parseArguments(process.argv.slice(2), [
	'name',
	'weights',
	'slots',
	'prefill-tokens-per-second',
	'step-ms',
	'cache-limit-tokens',
	'chars-per-token',
	'load-lag-ms',
	'cache-event-delay-ms',
	'cache-event-loss',
	'resume-window-ms',
	'checks-fencing',
	'weight-store',
	'load-ms',
	'record-file',
]);
await util.runStandIn(engine.createEngine({
	...args,
	name: args.extra.name,
	weights: args.extra.weights?.split(',').filter(weights => weights !== ''),
	slots: util.numberArgument(args, 'slots'),
	prefillTokensPerSecond: util.numberArgument(args, 'prefill-tokens-per-second'),
	stepMs: util.numberArgument(args, 'step-ms'),
	cacheLimitTokens: util.numberArgument(args, 'cache-limit-tokens'),
	charsPerToken: util.numberArgument(args, 'chars-per-token'),
	loadLagMs: util.numberArgument(args, 'load-lag-ms'),
	cacheEventDelayMs: util.numberArgument(args, 'cache-event-delay-ms'),
	cacheEventLoss: util.numberArgument(args, 'cache-event-loss'),
	resumeWindowMs: util.numberArgument(args, 'resume-window-ms'),
	checksFencing: args.extra['checks-fencing'] !== 'false',
	weightStore: args.extra['weight-store'],
	loadMs: util.numberArgument(args, 'load-ms'),
	recordFile: args.extra['record-file'],
	onCrash: util.crashProcess,
}));
