export * from './event-metrics.js';
export * from './metrics-server.js';
export * from './quota-metrics.js';
export * from './state-gauges.js';
