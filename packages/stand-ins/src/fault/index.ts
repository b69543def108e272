export * from './fault.js';
export * from './fault-state.js';
export * from './gated-connection.js';
export * from './stand-in-server.js';
