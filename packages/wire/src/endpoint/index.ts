export * from './cache-event.js';
export * from './cache-transfer.js';
export * from './completion.js';
export * from './engine-order.js';
export * from './load-report.js';
