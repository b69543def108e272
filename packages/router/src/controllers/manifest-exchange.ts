import type * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import type * as peerNetwork from '../peers/peer-network.js';
import type * as clock from '../util/clock.js';

const messageType = wire.peer.PeerMessageType;

/** Queries and callbacks of the exchange, implemented by the manifest controller. */
export type ManifestExchangeDelegate = {
	/** Returns the active generation, or 0 if there is none. */
	activeGeneration(): core.model.Generation;
	/** Returns the newest known head, even if some of its sections are still missing. */
	newestHead(): core.manifest.ManifestHead | undefined;
	/** Returns the latest known read of the key-value service, by any router. */
	lastKvRead(): core.manifest.Confirmation | undefined;
	getSection(hash: string): Uint8Array | undefined;
	onHead(head: core.manifest.ManifestHead, from: core.model.VmId): void;
	/** Called when a router has reported its active generation. */
	onPeerGeneration(from: core.model.VmId, confirmation: core.manifest.Confirmation): void;
	/** Called when a router has reported a read of the key-value service. */
	onKvRead(read: core.manifest.Confirmation): void;
	onSection(hash: string, bytes: Uint8Array): void;
};

/** Exchanges heads, sections and probes with the other routers. */
export class ManifestExchange {
	readonly #peers: peerNetwork.PeerNetwork;
	readonly #clock: clock.Clock;
	readonly #delegate: ManifestExchangeDelegate;
	/** Latest known generation of each router. */
	readonly #generations = new Map<core.model.VmId, core.model.Generation>();

	constructor(peers: peerNetwork.PeerNetwork, ownClock: clock.Clock, delegate: ManifestExchangeDelegate) {
		this.#peers = peers;
		this.#clock = ownClock;
		this.#delegate = delegate;
		peers.on(messageType.ManifestHead, (from, message) => {
			this.#onHead(from, message as wire.peer.ManifestHeadMessage);
		});
		peers.on(messageType.ManifestProbe, (from, message) => {
			this.#onProbe(from, message as wire.peer.ManifestProbe);
		});
		peers.on(messageType.ManifestProbeAnswer, (from, message) => {
			this.#onProbeAnswer(from, message as wire.peer.ManifestProbeAnswer);
		});
		peers.on(messageType.SectionRequest, (from, message) => {
			this.#onSectionRequest(from, message as wire.peer.SectionRequest);
		});
		peers.on(messageType.SectionAnswer, (_from, message) => {
			const {hash, bytes} = message as wire.peer.SectionAnswer;
			delegate.onSection(hash, bytes);
		});
	}

	/** Asks routers for their active generation. */
	probe(targets: Iterable<core.model.VmId>, now: number): void {
		for (const target of targets) {
			this.#send(target, {type: messageType.ManifestProbe, sentAt: now, generation: this.#delegate.activeGeneration()});
		}
	}

	/** Removes what is known of all routers but the given ones. */
	retain(vms: ReadonlySet<core.model.VmId>): void {
		for (const vm of this.#generations.keys()) {
			if (!vms.has(vm)) {
				this.#generations.delete(vm);
			}
		}
	}

	/** Sends a head to all connected routers that are not known to have it. */
	announce(head: core.manifest.ManifestHead): void {
		for (const vm of this.#peers.connectedVms()) {
			if ((this.#generations.get(vm) ?? 0) < head.generation) {
				this.#send(vm, {type: messageType.ManifestHead, head});
			}
		}
	}

	/** Requests sections from a router; returns false if there is no working link to it. */
	requestSections(from: core.model.VmId, hashes: readonly string[]): boolean {
		return this.#send(from, {type: messageType.SectionRequest, hashes});
	}

	#onHead(from: core.model.VmId, {head}: wire.peer.ManifestHeadMessage): void {
		this.#generations.set(from, head.generation);
		this.#delegate.onHead(head, from);
	}

	#onProbe(from: core.model.VmId, probe: wire.peer.ManifestProbe): void {
		const now = this.#clock.now();
		const kv = this.#delegate.lastKvRead();
		const newest = this.#delegate.newestHead();
		this.#generations.set(from, probe.generation);
		this.#send(from, {
			type: messageType.ManifestProbeAnswer,
			sentAt: probe.sentAt,
			generation: this.#delegate.activeGeneration(),
			...(kv && {kv: {generation: kv.generation, ageMs: now - kv.at}}),
			...(newest && newest.generation > probe.generation && {head: newest}),
		});
		if (probe.generation > this.#delegate.activeGeneration()) {
			this.probe([from], now);
		}
	}

	#onProbeAnswer(from: core.model.VmId, answer: wire.peer.ManifestProbeAnswer): void {
		const {sentAt, generation, kv, head} = answer;
		this.#generations.set(from, generation);
		this.#delegate.onPeerGeneration(from, {generation, at: sentAt});
		if (kv !== undefined) {
			this.#delegate.onKvRead({generation: kv.generation, at: sentAt - kv.ageMs});
		}

		if (head !== undefined) {
			this.#delegate.onHead(head, from);
		}
	}

	#onSectionRequest(from: core.model.VmId, request: wire.peer.SectionRequest): void {
		for (const hash of request.hashes) {
			const bytes = this.#delegate.getSection(hash);
			if (bytes !== undefined) {
				this.#send(from, {type: messageType.SectionAnswer, hash, bytes});
			}
		}
	}

	#send(to: core.model.VmId, message: wire.peer.ManifestMessage): boolean {
		return this.#peers.send(to, message);
	}
}
