export * from './incarnation-history.js';
export * from './member-record.js';
export * from './membership-types.js';
export * from './membership.js';
export * from './neighbours.js';
export * from './readiness.js';
