export * from './cache-store-stand-in.js';
