export * from './cache-event-follower.js';
export * from './cache-events-controller.js';
export * from './manifest-controller.js';
