export * from './platform-plan.js';
export * from './platform-soak.js';
