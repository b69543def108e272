export type * from './request-actions.js';
export * from './request-driver.js';
export * from './retry-limiter.js';
