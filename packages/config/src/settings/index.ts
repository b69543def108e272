export * from './parse-settings.js';
export * from './render-default-settings.js';
export * from './settings-schema.js';
