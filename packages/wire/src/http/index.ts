export * from './header-name.js';
export * from './media-type.js';
export * from './router-status.js';
