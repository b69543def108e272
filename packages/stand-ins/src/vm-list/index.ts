export * from './vm-list-stand-in.js';
