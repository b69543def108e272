export * from './counting-metrics.js';
