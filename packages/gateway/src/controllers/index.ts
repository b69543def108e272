export * from './duty-controller.js';
export * from './duty-keys.js';
export * from './endpoint-controller.js';
export * from './lease-controller.js';
export * from './operator-controller.js';
export * from './prefix-listeners.js';
export * from './rollout-controller.js';
export * from './store-feed.js';
