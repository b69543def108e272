export * from './abort-response.js';
export * from './byte-accumulator.js';
export * from './clocks.js';
export * from './connection-headers.js';
export * from './event-log.js';
export * from './listen.js';
export * from './path-server.js';
export * from './periodic-task.js';
