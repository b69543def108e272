import process from 'node:process';
import * as util from '../util/index.js';
import * as cacheStore from './cache-store-stand-in.js';

const args = util.parseArguments(process.argv.slice(2), ['limit-tokens']);
await util.runStandIn(cacheStore.createCacheStore({
	...args, limitTokens: util.numberArgument(args, 'limit-tokens'), onCrash: util.crashProcess,
}));
