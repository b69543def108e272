export type * as controller from './controllers/controller.js';
export type * as metrics from './util/metrics.js';
export * as controllers from './controllers/index.js';
export * as clock from './util/clock.js';
export * as endpoints from './endpoints/index.js';
export * as peers from './peers/index.js';
export * as program from './router-program.js';
export * as wireUp from './wire-up.js';
