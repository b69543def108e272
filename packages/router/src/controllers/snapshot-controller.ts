import * as wire from '@bluebellmast/wire';
import type * as core from '@bluebellmast/core';
import createDebug from 'debug';
import type * as peerNetwork from '../peers/peer-network.js';
import type * as metrics from '../util/metrics.js';
import type * as controller from './controller.js';

const debug = createDebug('bluebellmast:snapshot');

/** One part of the router state that is transferred to starting routers. */
export type SnapshotSource = {
	readonly name: string;
	/** Returns the state as a value that CBOR can encode, or `undefined` if there is none. */
	capture(): unknown;
	/** Applies the state of another router. The body is not validated; it may be called with the states of several routers. */
	restore(body: unknown): void;
};

/** Options of the snapshot controller. */
export type SnapshotOptions = {
	readonly peers: peerNetwork.PeerNetwork;
	readonly sources: readonly SnapshotSource[];
	readonly metrics?: metrics.Metrics;
	/** Number of routers that snapshots are requested from at the start. Default 2. */
	readonly maxPeers?: number;
	/** Milliseconds between request attempts. Default 100. */
	readonly retryIntervalMs?: number;
	/** Milliseconds after the start at which request attempts end. Default 10000. */
	readonly requestTimeoutMs?: number;
};

/** Sends state snapshots to starting routers and, at its own start, requests those of others. Nothing waits for their arrival. */
export class SnapshotController implements controller.Controller {
	private readonly options: Required<Omit<SnapshotOptions, 'metrics'>> & Pick<SnapshotOptions, 'metrics'>;
	private readonly requestedPeers = new Set<core.model.VmId>();
	private readonly answeredPeers = new Set<core.model.VmId>();
	private timer: NodeJS.Timeout | undefined;
	private attemptsLeft: number;

	constructor(options: SnapshotOptions) {
		this.options = {
			maxPeers: 2, retryIntervalMs: 100, requestTimeoutMs: 10_000, ...options,
		};
		this.attemptsLeft = Math.ceil(this.options.requestTimeoutMs / this.options.retryIntervalMs);
		this.options.peers.on(wire.peer.PeerMessageType.SnapshotRequest, from => {
			this.sendSnapshot(from);
		});
		this.options.peers.on(wire.peer.PeerMessageType.SnapshotAnswer, (from, message) => {
			this.applySnapshot(from, message);
		});
	}

	async start(): Promise<void> {
		this.timer = setInterval(() => {
			this.requestSnapshots();
		}, this.options.retryIntervalMs);
		this.requestSnapshots();
	}

	async stop(): Promise<void> {
		clearInterval(this.timer);
	}

	private requestSnapshots(): void {
		this.attemptsLeft -= 1;
		if (this.answeredPeers.size >= this.options.maxPeers || this.attemptsLeft < 0) {
			clearInterval(this.timer);
			return;
		}

		for (const vm of this.options.peers.connectedVms()) {
			if (this.requestedPeers.size >= this.options.maxPeers) {
				return;
			}

			const request: wire.peer.SnapshotRequest = {type: wire.peer.PeerMessageType.SnapshotRequest};
			if (!this.requestedPeers.has(vm) && this.options.peers.send(vm, request)) {
				this.requestedPeers.add(vm);
			}
		}
	}

	private sendSnapshot(to: core.model.VmId): void {
		const parts = this.options.sources
			.map(source => ({name: source.name, body: source.capture()}))
			.filter(part => part.body !== undefined);
		const answer: wire.peer.SnapshotAnswer = {type: wire.peer.PeerMessageType.SnapshotAnswer, parts};
		this.options.peers.send(to, answer);
		this.options.metrics?.increment('snapshot.given');
	}

	private applySnapshot(from: core.model.VmId, message: peerNetwork.PeerMessage): void {
		if (!wire.peer.isSnapshotAnswer(message) || !this.requestedPeers.has(from) || this.answeredPeers.has(from)) {
			return;
		}

		this.answeredPeers.add(from);
		debug('received the snapshot of %s', from);
		this.options.metrics?.increment('snapshot.taken');
		for (const part of message.parts) {
			this.options.sources.find(source => source.name === part.name)?.restore(part.body);
		}
	}
}
