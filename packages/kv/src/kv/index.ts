export * from './change-feed.js';
export * from './etcd-client.js';
export * from './key-value-client.js';
export * from './kv-call-type.js';
export * from './kv-eras.js';
export * from './kv-error.js';
