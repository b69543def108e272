export * from './peer-responses.js';
export * from './quota.js';
export * from './quota-agent.js';
export * from './quota-agent-options.js';
export * from './quota-buckets.js';
export * from './quota-message.js';
export * from './quota-partitions.js';
export * from './share-loans.js';
