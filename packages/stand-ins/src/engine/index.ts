export * from './engine-options.js';
export * from './engine-stand-in.js';
export * from './expected-answer.js';
