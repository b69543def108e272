export * from './change-outcome.js';
export * from './changes.js';
export * from './differences.js';
export * from './head-codec.js';
export * from './manifest-content.js';
export * from './manifest-schema.js';
export * from './parse-manifest.js';
export * from './sections.js';
