export * from './account-bucket.js';
export * from './account-limiter.js';
export * from './concurrency-limit.js';
export * from './fair-queue.js';
export * from './pool-admission.js';
export * from './usage-record.js';
