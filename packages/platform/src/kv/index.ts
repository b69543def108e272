export * from './key-value-client.js';
export * from './kv-error.js';
