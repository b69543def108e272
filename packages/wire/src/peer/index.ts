export * from './hello.js';
export * from './peer-message-type.js';
