export * from './booking-check.js';
export * from './engine-check.js';
export * from './leaving-check.js';
export * from './outcome-check.js';
export * as platform from './platform/index.js';
