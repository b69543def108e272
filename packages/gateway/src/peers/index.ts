export * from './digest-codec.js';
export * from './load-exchange.js';
export * from './tunnel-server.js';
