export * from './choose-endpoint.js';
export * from './endpoint-entry.js';
export * from './endpoint-health.js';
export * from './endpoint-registry.js';
export * from './engine-load.js';
export * from './recent-parts.js';
export * from './retry-window.js';
