export * from './cache-picture.js';
export * from './hot-prefixes.js';
export * from './prefix-keys.js';
