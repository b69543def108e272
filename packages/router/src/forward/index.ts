export * from './forward-controller.js';
