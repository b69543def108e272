export * from './kv-call.js';
export * from './kv-stand-in.js';
