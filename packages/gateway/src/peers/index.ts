export * from './digest-codec.js';
export * from './load-exchange.js';
