import * as fs from 'node:fs';

/** Clock ticks per second (USER_HZ) in which Linux counts CPU time. */
const ticksPerSecond = 100;
const millisecondsPerSecond = 1000;
/** Indices of user and system time among the fields of `/proc/PID/stat` after the process name. */
const userTimeField = 11;
const systemTimeField = 12;

/** Returns the CPU time that a process has used, in milliseconds. */
export function cpuTimeMs(pid: number): number {
	const text = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
	return ticks * millisecondsPerSecond / ticksPerSecond;
}
