export * from './caller-connections.js';
export * from './gateway-server.js';
export * from './readiness-server.js';
