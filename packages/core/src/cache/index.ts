export * from './cache-picture.js';
export * from './follow-plan.js';
export * from './hot-prefixes.js';
export * from './prefix-keys.js';
