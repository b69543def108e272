import type * as load from '../load/index.js';
import * as callOutcome from '../load/call-outcome.js';
import type * as plainService from '../plain-service/index.js';

/** Compares the outcomes of bookings with the executions that the runners recorded; returns the findings. */
export function checkBookings(
	bookings: readonly load.BookingRecord[],
	executions: readonly plainService.Execution[],
): string[] {
	const executionCounts = new Map<string, number>();
	for (const execution of executions) {
		const name = formatBooking(execution.account, execution.order);
		executionCounts.set(name, (executionCounts.get(name) ?? 0) + 1);
	}

	const sentNames = new Set(bookings.map(booking => formatBooking(booking.account, booking.order)));
	const unsentFindings = [...executionCounts.keys()]
		.filter(name => !sentNames.has(name))
		.map(name => `${name} was executed but never sent`);
	const findings = bookings.flatMap(booking => checkBooking(booking, executionCounts.get(formatBooking(booking.account, booking.order)) ?? 0));
	return [...findings, ...unsentFindings];
}

function checkBooking(booking: load.BookingRecord, executionCount: number): string[] {
	const name = formatBooking(booking.account, booking.order);
	const outcomes = booking.tries.map(attempt => attempt.outcome);
	const findings: string[] = [];
	if (executionCount > 1) {
		findings.push(`${name} was executed ${executionCount} times`);
	}

	const isReportedDone = outcomes.some(outcome =>
		outcome === callOutcome.Outcome.Answered || outcome === callOutcome.Outcome.RefusedDone);
	if (isReportedDone && executionCount === 0) {
		findings.push(`${name} was reported as executed but never was`);
	}

	if (executionCount > 0 && outcomes.every(outcome => outcome === callOutcome.Outcome.RefusedNotRun)) {
		findings.push(`${name} was refused as not executed but was executed`);
	}

	return findings;
}

function formatBooking(account: string, order: string): string {
	return `booking ${order} of ${account}`;
}
