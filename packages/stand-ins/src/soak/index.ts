export * from './lost-check.js';
export * from './schedule.js';
