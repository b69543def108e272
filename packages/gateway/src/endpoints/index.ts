export * from './connection-pool.js';
export * from './connection-pools.js';
export * from './connector.js';
export * from './endpoint-attempt.js';
export * from './endpoint-connectors.js';
export * from './endpoint-connection.js';
export * from './refusal-history.js';
