export type * as controller from './controllers/controller.js';
export * as controllers from './controllers/index.js';
export type * as metrics from './util/metrics.js';
export * as peers from './peers/index.js';
export * as clock from './util/clock.js';
