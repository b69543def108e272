export * from './users-server-records.js';
export * from './users-server-stand-in.js';
export * from './users-store-stand-in.js';
