export * from './naming-time.js';
export * from './outdated-weights.js';
export * from './plan-rollout.js';
export * from './rollout-plan.js';
export * from './weight-targets.js';
