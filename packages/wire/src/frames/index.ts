export * from './codec.js';
export * from './frame-decoder.js';
export * from './frame-encoder.js';
export * from './frame-error.js';
export * from './frame-limits.js';
