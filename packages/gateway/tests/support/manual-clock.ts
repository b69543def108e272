import type * as gateway from '@bluebellmast/gateway';

/** Clock that advances only when a test says so. */
export class ManualClock implements gateway.util.Clocks {
	now = 0;

	monotonicNow(): number {
		return this.now;
	}

	suspendAwareNow(): number {
		return this.now;
	}

	wallNow(): number {
		return this.now;
	}
}
