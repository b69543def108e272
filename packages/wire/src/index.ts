export * as endpoint from './endpoint/index.js';
export * as frames from './frames/index.js';
export * as http from './http/index.js';
export * as peer from './peer/index.js';
