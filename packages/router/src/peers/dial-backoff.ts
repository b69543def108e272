import * as core from '@bluebellmast/core';
import * as peerAddress from './peer-address.js';

/** Delays between connection attempts to one address. */
export type DialDelays = {
	/** Delay after the first failed attempt, in milliseconds; doubled after each further one. */
	readonly firstMs: number;
	/** Maximum delay, in milliseconds. */
	readonly maxMs: number;
};

type DialState = {
	failures: number;
	nextAttemptAt: number;
	isConnecting: boolean;
	/** VM that responded at the address last. */
	vm: core.model.VmId | undefined;
	lastRequestedAt: number;
};

const unusedRetentionMs = 10 * 60 * 1000;

/** Exponential backoff of connection attempts per address. Also records which VM responds at each address. */
export class DialBackoff {
	private readonly states = new Map<string, DialState>();

	constructor(private readonly delays: DialDelays) {}

	/** Returns the VM that is known to respond at an address. */
	vmAt(address: peerAddress.PeerAddress): core.model.VmId | undefined {
		return this.states.get(peerAddress.formatAddress(address))?.vm ?? address.vm;
	}

	/** Returns whether a connection attempt may start now, and if so records its start. */
	tryBegin(address: peerAddress.PeerAddress, now: number): boolean {
		const state = this.stateOf(address);
		state.lastRequestedAt = now;
		if (state.isConnecting || now < state.nextAttemptAt) {
			return false;
		}

		state.isConnecting = true;
		return true;
	}

	/** Records that the router at an address has responded. */
	recordSuccess(address: peerAddress.PeerAddress, vm: core.model.VmId): void {
		const state = this.stateOf(address);
		state.isConnecting = false;
		state.failures = 0;
		state.nextAttemptAt = 0;
		state.vm = vm;
	}

	/** Records that a connection attempt failed; the next one is delayed, with jitter of ±25%. */
	recordFailure(address: peerAddress.PeerAddress, now: number): void {
		const state = this.stateOf(address);
		state.isConnecting = false;
		state.vm = undefined;
		state.failures += 1;
		const delay = Math.min(this.delays.maxMs, this.delays.firstMs * (2 ** Math.min(state.failures - 1, 16)));
		const jitter = core.util.hash32(peerAddress.formatAddress(address), state.failures) / 0x1_00_00_00_00;
		state.nextAttemptAt = now + (delay * (0.75 + (jitter / 2)));
	}

	/** Deletes the state of addresses that were not requested for `unusedRetentionMs`. */
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
