export * from './booking-check.js';
export * from './engine-check.js';
export * from './leaving-check.js';
export * from './outcome-check.js';
