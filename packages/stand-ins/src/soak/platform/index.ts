export * from './gateway-process.js';
export * from './gateway-settings.js';
export * from './platform-action.js';
export * from './platform-plan.js';
export * from './platform-soak.js';
export * from './scheduling-record.js';
