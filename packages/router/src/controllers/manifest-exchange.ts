import type * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import type * as peerNetwork from '../peers/peer-network.js';
import type * as clock from '../util/clock.js';

const messageType = wire.peer.PeerMessageType;

/** What the exchange asks and tells the controller. */
export type ManifestExchangeDelegate = {
	/** Generation in force, 0 for none. */
	activeGeneration(): core.model.Generation;
	/** The newest head that is known, also one whose sections have not come. */
	newestHead(): core.manifest.ManifestHead | undefined;
	/** Latest read of the key-value service that is known. */
	lastKvRead(): core.manifest.Confirmation | undefined;
	getSection(hash: string): Uint8Array | undefined;
	onHead(head: core.manifest.ManifestHead, from: core.model.VmId): void;
	/** A router told which generation it has in force. */
	onPeerGeneration(from: core.model.VmId, confirmation: core.manifest.Confirmation): void;
	/** A router told of a read of the key-value service. */
	onKvRead(read: core.manifest.Confirmation): void;
	onSection(hash: string, bytes: Uint8Array): void;
};

/** Exchanges heads, sections and probes with the other routers. */
export class ManifestExchange {
	readonly #peers: peerNetwork.PeerNetwork;
	readonly #clock: clock.Clock;
	readonly #delegate: ManifestExchangeDelegate;
	/** Generation in force on each router, as last heard. */
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

	/** Asks routers which generation they have in force. */
	probe(targets: Iterable<core.model.VmId>, now: number): void {
		for (const target of targets) {
			this.#send(target, {type: messageType.ManifestProbe, sentAt: now, generation: this.#delegate.activeGeneration()});
		}
	}

	/** Tells a head to all connected routers that are not known to have it. */
	announce(head: core.manifest.ManifestHead): void {
		for (const vm of this.#peers.connected()) {
			if ((this.#generations.get(vm) ?? 0) < head.generation) {
				this.#send(vm, {type: messageType.ManifestHead, head});
			}
		}
	}

	/** Asks a router for sections; returns false when there is no working link. */
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
