export * from './change-writer.js';
export * from './read-manifest.js';
