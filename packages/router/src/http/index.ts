export * from './request-table.js';
