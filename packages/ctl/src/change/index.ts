export * from './change-writer.js';
export * from './read-content.js';
