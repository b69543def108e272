export * from './cache-store-news.js';
export * from './caller-protocol.js';
export * from './endpoint-protocol.js';
export * from './store-decoder.js';
