export * from './lost-check.js';
export * from './fault-schedule.js';
