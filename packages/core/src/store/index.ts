export * from './change-times.js';
export * from './departed-endpoints.js';
export * from './era-tracker.js';
export * from './fencing-token.js';
export * from './lapse-window.js';
export * from './pacing.js';
