export * from './lost-check.js';
export * from './fault-schedule.js';
export * as platform from './platform/index.js';
