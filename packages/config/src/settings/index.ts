export * from './parse-settings.js';
export * from './placement-policy.js';
export * from './settings-schema.js';
