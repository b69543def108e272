export * as document from './document/index.js';
export * as manifest from './manifest/index.js';
export * as settings from './settings/index.js';
