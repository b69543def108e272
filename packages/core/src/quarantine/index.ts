export * from './crash-row.js';
export * from './find-culprits.js';
export * from './interruption.js';
export * from './part-key.js';
export * from './part-quarantine.js';
export * from './quarantine-digest.js';
export * from './recent-times.js';
