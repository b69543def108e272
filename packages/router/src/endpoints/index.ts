export * from './connection-pools.js';
export * from './endpoint-origin.js';
export * from './engine-client.js';
export * from './load-client.js';
export * from './service-client.js';
