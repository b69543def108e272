export * from './digest-codec.js';
export * from './peer-exchange.js';
export * from './quota-codec.js';
export * from './tunnel-server.js';
