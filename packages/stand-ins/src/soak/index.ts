export * from './schedule.js';
