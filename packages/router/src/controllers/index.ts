export * from './manifest-controller.js';
