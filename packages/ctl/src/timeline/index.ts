export * from './render-html.js';
export * from './render-request-trace.js';
export * from './render-text.js';
