export * from './caller-http-server.js';
export * from './lingering-close.js';
export * from './create-bounded-connector.js';
