import process from 'node:process';
import * as engine from '../engine/index.js';
import * as util from '../util/index.js';

/** Entry point of an engine process of a bench run; the only argument is the options as JSON. */
const options = JSON.parse(process.argv[2] ?? '{}') as engine.EngineOptions;
await util.runStandIn(engine.createEngine({...options, onCrash: util.crashProcess}));
