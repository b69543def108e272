export * from './caller-http-server.js';
export * from './lingering-close.js';
