export * from './caller-answer.js';
export * from './request-table.js';
