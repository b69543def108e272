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
	slots: util.numberOf(args, 'slots'),
	prefillTokensPerSecond: util.numberOf(args, 'prefill-tokens-per-second'),
	stepMs: util.numberOf(args, 'step-ms'),
	cacheLimitTokens: util.numberOf(args, 'cache-limit-tokens'),
	charsPerToken: util.numberOf(args, 'chars-per-token'),
	loadLagMs: util.numberOf(args, 'load-lag-ms'),
	cacheEventDelayMs: util.numberOf(args, 'cache-event-delay-ms'),
	cacheEventLoss: util.numberOf(args, 'cache-event-loss'),
	resumeWindowMs: util.numberOf(args, 'resume-window-ms'),
	checksFencing: args.extra['checks-fencing'] !== 'false',
	weightStore: args.extra['weight-store'],
	loadMs: util.numberOf(args, 'load-ms'),
	recordFile: args.extra['record-file'],
	onCrash: util.crashProcess,
}));
