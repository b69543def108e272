export * from './cache-store-change-feed.js';
export * from './caller-protocol.js';
export * from './endpoint-protocol.js';
export * from './store-decoder.js';
