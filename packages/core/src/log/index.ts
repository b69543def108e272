export * from './explain-request.js';
export * from './log-event.js';
export * from './log-line.js';
export * from './retry-obstacle.js';
export * from './turn-away-reason.js';
