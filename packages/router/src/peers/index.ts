export * from './choose-link.js';
export * from './peer-address.js';
export * from './peer-network.js';
export * from './running-time.js';
export * from './tcp-peer-network.js';
export type * from './tcp-peer-network-options.js';
