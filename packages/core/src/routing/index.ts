export * from './config-state.js';
export * from './config-age.js';
export * from './gateway-config.js';
export * from './route-table.js';
export * from './unreadable-config.js';
