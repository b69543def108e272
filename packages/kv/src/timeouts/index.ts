export * from './call-deadline.js';
export * from './input-interval.js';
export * from './input-timer.js';
export * from './input-wait.js';
export * from './silence-timer.js';
