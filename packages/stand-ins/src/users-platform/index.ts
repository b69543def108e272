export * from './server-stand-in.js';
export * from './store-stand-in.js';
