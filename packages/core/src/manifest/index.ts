export * from './manifest-head.js';
