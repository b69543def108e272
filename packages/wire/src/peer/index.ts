export * from './cache-messages.js';
export * from './hello.js';
export * from './ledger-messages.js';
export * from './manifest-messages.js';
export * from './member-message.js';
export * from './peer-message-type.js';
export * from './snapshot-messages.js';
export * from './usage-messages.js';
