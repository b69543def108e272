export * from './blocked-times.js';
export * from './hash.js';
export * from './invariant.js';
export * from './random.js';
export * from './rendezvous.js';
export * from './step.js';
export * from './match-either.js';
