export * from './router-client.js';
export * from './wait-for-generation.js';
