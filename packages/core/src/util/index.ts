export * from './invariant.js';
export * from './step.js';
