export * as memberFleet from './bench/member-fleet.js';
