export * from './endpoint-pauses.js';
export * from './endpoint-placer.js';
export * from './fleet-state.js';
