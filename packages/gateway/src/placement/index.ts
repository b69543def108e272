export * from './endpoint-interruptions.js';
export * from './endpoint-pauses.js';
export * from './endpoint-placer.js';
export * from './fleet-state.js';
export * from './leaving-recorder.js';
export * from './weight-conditions.js';
