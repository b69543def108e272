export * from './usage-record.js';
