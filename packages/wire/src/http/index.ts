export * from './header-name.js';
export * from './media-type.js';
