export * as change from './change/index.js';
export * as cli from './cli/index.js';
export * as routers from './routers/index.js';
export * as timeline from './timeline/index.js';
