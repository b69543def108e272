export * from './http-vm-list-client.js';
export * from './vm-list.js';
export * from './no-vm-list.js';
