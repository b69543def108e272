export * as cacheStore from './cache-store/index.js';
export * as engine from './engine/index.js';
export * as fault from './fault/index.js';
export * as kv from './kv/index.js';
export * as plainService from './plain-service/index.js';
export * as util from './util/index.js';
export * as vmList from './vm-list/index.js';
export * as weightStore from './weight-store/index.js';
