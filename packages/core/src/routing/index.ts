export * from './config-state.js';
export * from './config-trust.js';
export * from './gateway-config.js';
export * from './route-table.js';
