export * from './connection-pools.js';
export * from './endpoint-url.js';
export * from './load-client.js';
export * from './service-client.js';
