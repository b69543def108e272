export * from './peer-message-type.js';
