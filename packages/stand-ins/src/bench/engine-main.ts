import process from 'node:process';
import * as engine from '../engine/index.js';
import * as util from '../util/index.js';

/** Process of one engine of a bench run; its only argument is the options as JSON. */
const options = JSON.parse(process.argv[2] ?? '{}') as engine.EngineOptions;
await util.runStandIn(engine.createEngine({...options, onCrash: util.crashProcess}));
