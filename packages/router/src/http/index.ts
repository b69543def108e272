export * from './http-response-writer.js';
export * from './active-requests.js';
