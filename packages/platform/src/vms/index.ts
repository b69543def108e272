export * from './vm-list.js';
