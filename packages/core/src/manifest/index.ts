export * from './allowed-weights.js';
export * from './confirmation-guard.js';
export * from './generation-tracker.js';
export * from './manifest-head.js';
