export * from './placer.js';
