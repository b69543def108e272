export * from './endpoint-table.js';
export * from './watch-plan.js';
