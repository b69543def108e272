export * from './finding.js';
export * from './schema-fields.js';
export * from './schema-findings.js';
export * from './yaml-source.js';
