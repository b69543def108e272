export * from './desired-weights.js';
export * from './leader-lease.js';
export * from './lease-machine.js';
export * from './order.js';
export * from './plan-orders.js';
