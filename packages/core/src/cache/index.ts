export * from './cache-index.js';
export * from './cache-report.js';
export * from './follow-plan.js';
export * from './hot-prefixes.js';
export * from './piece-table.js';
export * from './prefix-keys.js';
