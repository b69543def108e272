export * from './hybrid-clock.js';
export * from './timeline-event.js';
export * from './timeline-ring-buffer.js';
