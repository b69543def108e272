export * from './cache-messages.js';
export * from './hello.js';
export * from './manifest-messages.js';
export * from './peer-message-type.js';
