export * from './parse-settings.js';
export * from './settings-schema.js';
