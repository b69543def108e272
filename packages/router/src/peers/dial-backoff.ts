import * as core from '@bluebellmast/core';
import * as peerAddress from './peer-address.js';

/** How long to wait between tries to reach one address. */
export type DialDelays = {
	readonly firstMs: number;
	readonly maxMs: number;
};

type DialState = {
	failures: number;
	nextAttemptAt: number;
	isConnecting: boolean;
	/** Who answered there last. */
	vm: core.model.VmId | undefined;
	lastRequestedAt: number;
};

const unusedRetentionMs = 10 * 60 * 1000;

/** Keeps, for each address, when it may be tried next and who answered there. */
export class DialBackoff {
	private readonly states = new Map<string, DialState>();

	constructor(private readonly delays: DialDelays) {}

	/** Returns who is known to answer at an address. */
	vmAt(address: peerAddress.PeerAddress): core.model.VmId | undefined {
		return this.states.get(peerAddress.formatAddress(address))?.vm ?? address.vm;
	}

	/** Returns whether a try may begin now, and if so marks it as begun. */
	tryBegin(address: peerAddress.PeerAddress, now: number): boolean {
		const state = this.stateOf(address);
		state.lastRequestedAt = now;
		if (state.isConnecting || now < state.nextAttemptAt) {
			return false;
		}

		state.isConnecting = true;
		return true;
	}

	/** Records that the router at an address has answered. */
	recordSuccess(address: peerAddress.PeerAddress, vm: core.model.VmId): void {
		const state = this.stateOf(address);
		state.isConnecting = false;
		state.failures = 0;
		state.nextAttemptAt = 0;
		state.vm = vm;
	}

	/** Records that a try ended without an answer. */
	recordFailure(address: peerAddress.PeerAddress, now: number): void {
		const state = this.stateOf(address);
		state.isConnecting = false;
		state.vm = undefined;
		state.failures += 1;
		const delay = Math.min(this.delays.maxMs, this.delays.firstMs * (2 ** Math.min(state.failures - 1, 16)));
		const jitter = core.util.hash32(peerAddress.formatAddress(address), state.failures) / 0x1_00_00_00_00;
		state.nextAttemptAt = now + (delay * (0.75 + (jitter / 2)));
	}

	/** Forgets addresses that nobody has asked for in a long time. */
	prune(now: number): void {
		for (const [key, state] of this.states) {
			if (!state.isConnecting && now - state.lastRequestedAt > unusedRetentionMs) {
				this.states.delete(key);
			}
		}
	}

	private stateOf(address: peerAddress.PeerAddress): DialState {
		const key = peerAddress.formatAddress(address);
		let state = this.states.get(key);
		if (state === undefined) {
			state = {
				failures: 0, nextAttemptAt: 0, isConnecting: false, vm: undefined, lastRequestedAt: 0,
			};
			this.states.set(key, state);
		}

		return state;
	}
}
