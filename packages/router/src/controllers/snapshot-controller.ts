import * as wire from '@bluebellmast/wire';
import type * as core from '@bluebellmast/core';
import createDebug from 'debug';
import type * as peerNetwork from '../peers/peer-network.js';
import type * as metrics from '../util/metrics.js';
import type * as controller from './controller.js';

const debug = createDebug('bluebellmast:snapshot');

/** One part of a router's state that a starting router is given. */
export type SnapshotSource = {
	readonly name: string;
	/** Returns the state to give away, made of what CBOR can carry; `undefined` when there is none. */
	capture(): unknown;
	/** Takes the state of another router. The body is not checked and may come from two routers. */
	restore(body: unknown): void;
};

/** Options of the snapshots. */
export type SnapshotOptions = {
	readonly network: peerNetwork.PeerNetwork;
	readonly sources: readonly SnapshotSource[];
	readonly metrics?: metrics.Metrics;
	/** Routers asked at the start. Default 2. */
	readonly peersAsked?: number;
	/** Milliseconds between tries. Default 100. */
	readonly retryMs?: number;
	/** Milliseconds after the start at which asking ends. Default 10000. */
	readonly askForMs?: number;
};

/** Gives its state to starting routers and, at its own start, takes that of two others. Never waited for. */
export class SnapshotController implements controller.Controller {
	private readonly cfg: Required<Omit<SnapshotOptions, 'metrics'>> & Pick<SnapshotOptions, 'metrics'>;
	private readonly asked = new Set<core.model.VmId>();
	private readonly answered = new Set<core.model.VmId>();
	private timer: NodeJS.Timeout | undefined;
	private triesLeft: number;

	constructor(options: SnapshotOptions) {
		this.cfg = {
			peersAsked: 2, retryMs: 100, askForMs: 10_000, ...options,
		};
		this.triesLeft = Math.ceil(this.cfg.askForMs / this.cfg.retryMs);
		this.cfg.network.on(wire.peer.PeerMessageType.SnapshotRequest, from => {
			this.answer(from);
		});
		this.cfg.network.on(wire.peer.PeerMessageType.SnapshotAnswer, (from, message) => {
			this.take(from, message);
		});
	}

	async start(): Promise<void> {
		this.timer = setInterval(() => {
			this.ask();
		}, this.cfg.retryMs);
		this.ask();
	}

	async stop(): Promise<void> {
		clearInterval(this.timer);
	}

	private ask(): void {
		this.triesLeft -= 1;
		if (this.answered.size >= this.cfg.peersAsked || this.triesLeft < 0) {
			clearInterval(this.timer);
			return;
		}

		for (const vm of this.cfg.network.connectedVms()) {
			if (this.asked.size >= this.cfg.peersAsked) {
				return;
			}

			const request: wire.peer.SnapshotRequest = {type: wire.peer.PeerMessageType.SnapshotRequest};
			if (!this.asked.has(vm) && this.cfg.network.send(vm, request)) {
				this.asked.add(vm);
			}
		}
	}

	private answer(to: core.model.VmId): void {
		const parts = this.cfg.sources
			.map(source => ({name: source.name, body: source.capture()}))
			.filter(part => part.body !== undefined);
		const answer: wire.peer.SnapshotAnswer = {type: wire.peer.PeerMessageType.SnapshotAnswer, parts};
		this.cfg.network.send(to, answer);
		this.cfg.metrics?.increment('snapshot.given');
	}

	private take(from: core.model.VmId, message: peerNetwork.PeerMessage): void {
		if (!wire.peer.isSnapshotAnswer(message) || !this.asked.has(from) || this.answered.has(from)) {
			return;
		}

		this.answered.add(from);
		debug('took the state of %s', from);
		this.cfg.metrics?.increment('snapshot.taken');
		for (const part of message.parts) {
			this.cfg.sources.find(source => source.name === part.name)?.restore(part.body);
		}
	}
}
