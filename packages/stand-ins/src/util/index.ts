export * from './arguments.js';
export * from './child-process.js';
export * from './free-ports.js';
export * from './http-io.js';
export * from './random.js';
export * from './recorder.js';
export * from './run-stand-in.js';
export * from './sleep.js';
