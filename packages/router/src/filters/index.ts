export * from './call.js';
export * from './deadline-filter.js';
export * from './filter.js';
export * from './parse-call.js';
export * from './request-context.js';
