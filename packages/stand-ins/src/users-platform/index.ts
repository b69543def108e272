export * from './users-server-stand-in.js';
export * from './users-store-stand-in.js';
