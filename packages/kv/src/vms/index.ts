export * from './http-vm-list-client.js';
export * from './vm-list.js';
export * from './null-vm-list-client.js';
