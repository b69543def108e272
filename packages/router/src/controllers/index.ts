export * from './ledger-begin-verdict.js';
export * from './ledger-controller.js';
export * from './ledger-gate.js';
export * from './ledger-idempotency-store.js';
export * from './ledger-issued-keys.js';
export * from './ledger-shard-codec.js';
export * from './ledger-timer.js';
export * from './manifest-controller.js';
