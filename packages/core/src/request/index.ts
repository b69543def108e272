export * from './attempt.js';
export * from './execution.js';
export * from './retry-decision.js';
export * from './refusal-factory.js';
export * from './request-state.js';
export * from './request-machine.js';
export * from './retry-budget.js';
export * from './stream-assembler.js';
