export * from './interruption.js';
export * from './part-key.js';
