export * from './connection-pools.js';
export * from './load-client.js';
