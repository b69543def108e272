export * as connections from './connections/index.js';
export * as kv from './kv/index.js';
export * as timeouts from './timeouts/index.js';
export * as vms from './vms/index.js';
