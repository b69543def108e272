export * from './call.js';
export * from './filter.js';
export * from './parse-call.js';
export * from './request-context.js';
