export * from './account-bucket.js';
export * from './account-limiter.js';
export * from './concurrency-limit.js';
export * from './fair-queue.js';
export * from './request-limits.js';
export * from './pool-admission.js';
export * from './stated-limits.js';
export * from './usage-record.js';
