export * from './command.js';
export * from './context.js';
export * from './exit-code.js';
export * from './run-cli.js';
export * from './text-table.js';
