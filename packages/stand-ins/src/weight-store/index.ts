export * from './weight-store-stand-in.js';
