import type * as wire from '@bluebellmast/wire';
import type * as router from '@bluebellmast/router';

/** In-memory links between all routers of a test; messages are delivered synchronously. */
export class MemoryLinks {
	readonly networks = new Map<string, MemoryPeerNetwork>();
	/** Routers that have no working links. */
	readonly disconnected = new Set<string>();
	/** Called for each sent message; returns whether the message is lost. */
	shouldDrop: (to: string, message: router.peers.PeerMessage) => boolean = () => false;

	create(vm: string): MemoryPeerNetwork {
		const network = new MemoryPeerNetwork(vm, this);
		this.networks.set(vm, network);
		return network;
	}
}

/** Peer network of one router over in-memory links. */
export class MemoryPeerNetwork implements router.peers.PeerNetwork {
	readonly #handlers = new Map<wire.peer.PeerMessageType, router.peers.PeerHandler>();
	readonly #vm: string;
	readonly #links: MemoryLinks;

	constructor(vm: string, links: MemoryLinks) {
		this.#vm = vm;
		this.#links = links;
	}

	connectedVms(): readonly string[] {
		const {networks, disconnected: cut} = this.#links;
		return [...networks.keys()].filter(vm => vm !== this.#vm && !cut.has(vm) && !cut.has(this.#vm));
	}

	send(to: string, message: router.peers.PeerMessage): boolean {
		if (!this.connectedVms().includes(to)) {
			return false;
		}

		if (!this.#links.shouldDrop(to, message)) {
			this.#links.networks.get(to)?.receive(this.#vm, message);
		}

		return true;
	}

	broadcast(message: router.peers.PeerMessage): void {
		for (const vm of this.connectedVms()) {
			this.send(vm, message);
		}
	}

	on(type: wire.peer.PeerMessageType, handler: router.peers.PeerHandler): void {
		this.#handlers.set(type, handler);
	}

	receive(from: string, message: router.peers.PeerMessage): void {
		this.#handlers.get(message.type)?.(from, message);
	}
}
