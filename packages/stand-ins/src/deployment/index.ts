export * from './deployment-options.js';
export * from './local-deployment.js';
export * from './manifest-file.js';
