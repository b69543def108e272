export * from './render-html.js';
export * from './render-story.js';
export * from './render-text.js';
