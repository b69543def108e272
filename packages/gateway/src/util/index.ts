export * from './clocks.js';
export * from './event-log.js';
export * from './periodic.js';
