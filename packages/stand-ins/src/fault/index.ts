export * from './fault.js';
export * from './fault-state.js';
export * from './silenceable-connection.js';
export * from './stand-in-server.js';
export * from './link-proxy.js';
export * from './reset-socket.js';
