export * from './plain-service-stand-in.js';
