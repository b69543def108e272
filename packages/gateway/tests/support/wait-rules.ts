import * as core from '@bluebellmast/core';

/** Longest wait for capacity of the rules that do not learn, in milliseconds. */
const maxCapacityWaitMs = 1000;

/** Lets no request wait for a pool without endpoints, and for capacity for a second at most unless twice the expected wait is longer. */
export class RefusingWaitRules implements core.fleet.WaitRules {
	mayWait({cause, elapsedMs, timeLeftMs}: core.fleet.WaitState): boolean {
		return cause === core.fleet.WaitCause.Capacity && timeLeftMs > 0 && elapsedMs < maxCapacityWaitMs;
	}

	expectedMs(): number {
		return 0;
	}

	recordDuration(): void {
		// Nothing is learned.
	}
}

/** Lets requests wait as long as a pool has had no endpoint for less than a fixed time. */
export class BoundedWaitRules implements core.fleet.WaitRules {
	constructor(private readonly maxGapMs: number) {}

	mayWait({cause, elapsedMs, timeLeftMs}: core.fleet.WaitState): boolean {
		return timeLeftMs > 0 && elapsedMs < (cause === core.fleet.WaitCause.Capacity ? maxCapacityWaitMs : this.maxGapMs);
	}

	expectedMs(_cause: core.fleet.WaitCause, elapsedMs: number): number {
		return Math.max(0, this.maxGapMs - elapsedMs);
	}

	recordDuration(): void {
		// Nothing is learned.
	}
}
