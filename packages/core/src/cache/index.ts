export * from './hasher.js';
export * from './prefix-keys.js';
