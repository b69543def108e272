export * from './kv-stand-in.js';
