export * from './http-response-writer.js';
export * from './active-requests.js';
export type * from './admin-handler.js';
export * from './read-body.js';
export type * from './request-handler.js';
export * from './router-server.js';
