export * from './hello.js';
export * from './member-message.js';
export * from './peer-message-type.js';
