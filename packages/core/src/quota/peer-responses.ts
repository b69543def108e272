import type * as quotaMessage from './quota-message.js';

/** When a VM that does not respond is suspected, and for how long. */
export type PeerResponsesOptions = {
	/** Calls without a reply. */
	readonly minUnanswered: number;
	/** Time since the first of them, in milliseconds. */
	readonly minSilentMs: number;
	/** Time for which a suspected VM keeps nothing, in milliseconds; its response to a call ends the suspicion afterwards. */
	readonly suspicionMs: number;
};

/** Within the time that callers of short requests can wait, and above the time for which a busy VM is blocked now and then. */
export const defaultPeerResponsesOptions: PeerResponsesOptions = {minUnanswered: 3, minSilentMs: 350, suspicionMs: 2000};

type Peer = {
	unanswered: number;
	/** When the first unanswered call was sent. */
	unansweredSince: number;
	sentAt: number;
	suspectedAt?: number;
	/** Latest clock reading of the VM, and when it arrived here. */
	clock?: {readonly reading: quotaMessage.ClockReading; readonly receivedAt: number};
};

/** Which VMs respond to calls. Counts calls rather than time, as this VM may have been suspended itself. */
export class PeerResponses {
	readonly #peers = new Map<string, Peer>();

	constructor(private readonly options: PeerResponsesOptions = defaultPeerResponsesOptions) {}

	/** Records that a call was sent. @returns Whether the VM is suspected from now on. */
	recordCall(vm: string, now: number): boolean {
		const peer = this.#get(vm);
		peer.unansweredSince = peer.unanswered === 0 ? now : peer.unansweredSince;
		peer.unanswered += 1;
		peer.sentAt = now;
		const isSilent = peer.unanswered > this.options.minUnanswered && now - peer.unansweredSince >= this.options.minSilentMs;
		if (!isSilent || peer.suspectedAt !== undefined) {
			return false;
		}

		peer.suspectedAt = now;
		return true;
	}

	/** Records a reply. @returns Whether this ends a suspicion. */
	recordReply(vm: string, reading: quotaMessage.ClockReading, now: number): boolean {
		const peer = this.#get(vm);
		peer.unanswered = 0;
		peer.clock = {reading, receivedAt: now};
		return this.#release(peer, now);
	}

	/** Records that a VM takes no loans, as it shuts down. @returns Whether it was not suspected before. */
	recordRefusal(vm: string, now: number): boolean {
		const peer = this.#get(vm);
		const isNew = peer.suspectedAt === undefined;
		peer.suspectedAt = now;
		return isNew;
	}

	/** Returns whether a VM is not suspected. */
	isResponsive(vm: string): boolean {
		return this.#peers.get(vm)?.suspectedAt === undefined;
	}

	/** Returns the latest clock reading of a VM, and when it arrived. */
	getClock(vm: string): {readonly reading: quotaMessage.ClockReading; readonly receivedAt: number} | undefined {
		return this.#peers.get(vm)?.clock;
	}

	/** Returns when the latest call to a VM was sent, if none of the latest ones has a reply. */
	getUnansweredAt(vm: string): number | undefined {
		const peer = this.#peers.get(vm);
		return peer === undefined || peer.unanswered === 0 ? undefined : peer.sentAt;
	}

	/** Lists the suspected VMs that may be called again. */
	listProbed(intervalMs: number, now: number): string[] {
		return [...this.#peers]
			.filter(([, {suspectedAt, sentAt}]) => suspectedAt !== undefined && now - suspectedAt >= this.options.suspicionMs && now - sentAt >= intervalMs)
			.map(([vm]) => vm);
	}

	/** Forgets VMs that are not members. */
	retain(vms: ReadonlySet<string>): void {
		for (const vm of this.#peers.keys()) {
			if (!vms.has(vm)) {
				this.#peers.delete(vm);
			}
		}
	}

	#release(peer: Peer, now: number): boolean {
		if (peer.suspectedAt === undefined || now - peer.suspectedAt < this.options.suspicionMs) {
			return false;
		}

		peer.suspectedAt = undefined;
		return true;
	}

	#get(vm: string): Peer {
		const known = this.#peers.get(vm);
		if (known !== undefined) {
			return known;
		}

		const peer: Peer = {unanswered: 0, unansweredSince: -Infinity, sentAt: -Infinity};
		this.#peers.set(vm, peer);
		return peer;
	}
}
