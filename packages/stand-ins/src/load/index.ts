export * from './call-outcome.js';
export * from './latency-recorder.js';
export * from './load-generator.js';
export * from './load-options.js';
export * from './load-result.js';
export * from './lost-call.js';
export * from './prompt-generator.js';
