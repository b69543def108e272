import * as fs from 'node:fs';

/** Clock ticks a second in which Linux counts processor time. */
const ticksPerSecond = 100;
const millisecondsPerSecond = 1000;
/** Positions of user and system time after the process name. */
const userTimeField = 11;
const systemTimeField = 12;

/** Returns the processor time that a process has used, in milliseconds. */
export function cpuTimeMs(pid: number): number {
	const text = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
	return ticks * millisecondsPerSecond / ticksPerSecond;
}
