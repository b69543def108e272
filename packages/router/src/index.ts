export type * as controller from './controllers/controller.js';
export type * as metrics from './util/metrics.js';
export type * as peers from './peers/peer-network.js';
export * as clock from './util/clock.js';
