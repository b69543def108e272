import type * as load from '../load/index.js';
import * as callOutcome from '../load/call-outcome.js';
import type * as plainService from '../plain-service/index.js';

/** Checks what callers were told of bookings against what the runners carried out, and returns the findings. */
export function checkBookings(
	bookings: readonly load.BookingRecord[],
	executions: readonly plainService.Execution[],
): string[] {
	const runs = new Map<string, number>();
	for (const execution of executions) {
		const name = nameOf(execution.account, execution.order);
		runs.set(name, (runs.get(name) ?? 0) + 1);
	}

	const known = new Set(bookings.map(booking => nameOf(booking.account, booking.order)));
	const strangers = [...runs.keys()]
		.filter(name => !known.has(name))
		.map(name => `${name} ran but was never sent`);
	const findings = bookings.flatMap(booking => checkBooking(booking, runs.get(nameOf(booking.account, booking.order)) ?? 0));
	return [...findings, ...strangers];
}

function checkBooking(booking: load.BookingRecord, runs: number): string[] {
	const name = nameOf(booking.account, booking.order);
	const outcomes = booking.tries.map(answer => answer.outcome);
	const findings: string[] = [];
	if (runs > 1) {
		findings.push(`${name} ran ${runs} times`);
	}

	const saysDone = outcomes.some(outcome =>
		outcome === callOutcome.Outcome.Answered || outcome === callOutcome.Outcome.RefusedDone);
	if (saysDone && runs === 0) {
		findings.push(`${name} was answered as done but never ran`);
	}

	if (runs > 0 && outcomes.every(outcome => outcome === callOutcome.Outcome.RefusedNotRun)) {
		findings.push(`${name} was refused as not run but ran`);
	}

	return findings;
}

function nameOf(account: string, order: string): string {
	return `booking ${order} of ${account}`;
}
