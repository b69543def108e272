import {performance} from 'node:perf_hooks';
import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';

type Vm = core.model.VmId;

/** A simulated router with its traffic counters. */
export type SimulatedRouter = {
	readonly vm: Vm;
	membership: core.members.Membership;
	isRunning: boolean;
	/** Number of starts; part of the incarnation. */
	starts: number;
	readonly links: Set<Vm>;
	messagesSent: number;
	bytesSent: number;
	bytesReceived: number;
};

type DeliveryFilter = (from: Vm, to: Vm) => boolean;

type Task = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

/** Delay of each message between two routers, in virtual milliseconds. */
const latencyMs = 1;

/** Priority queue of tasks by time, then by order of insertion, in a binary heap. */
class TaskQueue {
	private readonly heap: Task[] = [];

	get next(): Task | undefined {
		return this.heap[0];
	}

	push(task: Task): void {
		let index = this.heap.push(task) - 1;
		while (index > 0) {
			const parent = (index - 1) >> 1; // eslint-disable-line no-bitwise
			if (!this.isBefore(index, parent)) {
				return;
			}

			this.swap(index, parent);
			index = parent;
		}
	}

	pop(): Task {
		const top = this.heap[0]!;
		const last = this.heap.pop()!;
		if (this.heap.length > 0) {
			this.heap[0] = last;
			this.siftDown();
		}

		return top;
	}

	private siftDown(): void {
		let index = 0;
		for (;;) {
			const left = (2 * index) + 1;
			if (left >= this.heap.length) {
				return;
			}

			const child = left + 1 < this.heap.length && this.isBefore(left + 1, left) ? left + 1 : left;
			if (!this.isBefore(child, index)) {
				return;
			}

			this.swap(index, child);
			index = child;
		}
	}

	private isBefore(a: number, b: number): boolean {
		const [first, second] = [this.heap[a]!, this.heap[b]!];
		return first.at < second.at || (first.at === second.at && first.order < second.order);
	}

	private swap(a: number, b: number): void {
		[this.heap[a], this.heap[b]] = [this.heap[b]!, this.heap[a]!];
	}
}

/** Discrete-event simulation of the membership protocol of many routers, with virtual time and a simulated network. */
export class MembershipSimulation {
	now = 1_700_000_000_000;
	/** Real time spent in membership steps and in encoding and decoding, in milliseconds. */
	stepMs = 0;
	codecMs = 0;
	readonly nodes = new Map<Vm, SimulatedRouter>();
	/** Returns whether messages from one router reach another. */
	isDelivered: DeliveryFilter;

	private readonly tasks = new TaskQueue();
	private readonly random: core.util.SeededRandom;
	private scheduledCount = 0;

	constructor(private readonly seed: number, private readonly options: Partial<core.members.MembershipOptions> = {}) {
		this.isDelivered = () => true;
		this.random = new core.util.SeededRandom(seed);
	}

	/** Adds a router, starts it and links it to the seeds. */
	add(vm: Vm, seeds: readonly Vm[]): SimulatedRouter {
		const node: SimulatedRouter = {
			vm, membership: this.create(vm, 1), isRunning: true, starts: 1, links: new Set(),
			messagesSent: 0, bytesSent: 0, bytesReceived: 0,
		};
		this.nodes.set(vm, node);
		this.startNode(node, seeds);
		return node;
	}

	/** Stops a router abruptly, without messages to others. */
	kill(vm: Vm): void {
		const node = this.nodes.get(vm)!;
		node.isRunning = false;
		node.links.clear();
		for (const other of this.nodes.values()) {
			other.links.delete(vm);
		}
	}

	/** Restarts a killed router as a new incarnation. */
	restart(vm: Vm, seeds: readonly Vm[]): void {
		const node = this.nodes.get(vm)!;
		node.starts += 1;
		node.membership = this.create(vm, node.starts);
		node.isRunning = true;
		this.startNode(node, seeds);
	}

	/** Replaces the link between two routers by a new one. */
	relink(a: Vm, b: Vm): void {
		const [first, second] = [this.nodes.get(a)!, this.nodes.get(b)!];
		first.links.delete(b);
		second.links.delete(a);
		this.link(first, b);
	}

	/** Advances virtual time and runs all tasks that are due. */
	run(durationMs: number): void {
		const end = this.now + durationMs;
		while (this.tasks.next !== undefined && this.tasks.next.at <= end) {
			const task = this.tasks.pop();
			this.now = task.at;
			task.run();
		}

		this.now = end;
	}

	/** Advances time in steps until a condition holds. Returns the elapsed milliseconds, or `undefined` at the limit. */
	runUntil(condition: () => boolean, limitMs: number, stepMs = 100): number | undefined {
		for (let elapsedMs = 0; elapsedMs <= limitMs; elapsedMs += stepMs) {
			if (condition()) {
				return elapsedMs;
			}

			this.run(stepMs);
		}

		return undefined;
	}

	listRunning(): SimulatedRouter[] {
		return [...this.nodes.values()].filter(node => node.isRunning);
	}

	/** Returns whether the present members at every running router are exactly the running routers, all alive. */
	isConverged(): boolean {
		const running = this.listRunning();
		return running.every(node => {
			const present = node.membership.present();
			return present.length === running.length && present.every(record => (
				record.status === core.members.MemberStatus.Alive && this.nodes.get(record.vm)!.isRunning
			));
		});
	}

	/** Applies an event to a router's membership and sends the resulting messages. */
	applyEvent(node: SimulatedRouter, event: core.members.MembershipEvent): void {
		const startedAt = performance.now();
		const effects = node.membership.step(event, this.now);
		this.stepMs += performance.now() - startedAt;
		for (const effect of effects) {
			if (effect.type !== core.members.MembershipEffectType.Changed) {
				this.send(node, effect);
			}
		}
	}

	private create(vm: Vm, starts: number): core.members.Membership {
		return new core.members.Membership({
			vm,
			incarnation: `${vm}-${starts}`,
			host: '10.0.0.1',
			port: 7000,
			dataCentre: 'dc-1',
			seed: core.util.hash32(vm, this.seed + starts) % 0x7F_FF_FF_FF,
			startedAt: this.now,
			...this.options,
		});
	}

	private startNode(node: SimulatedRouter, seeds: readonly Vm[]): void {
		for (const seed of seeds) {
			this.link(node, seed);
		}

		const {membership} = node;
		const periodMs = this.options.periodMs ?? core.members.membershipDefaults.periodMs;
		const tick = (): void => {
			if (!node.isRunning || node.membership !== membership) {
				return;
			}

			this.applyEvent(node, {type: core.members.MembershipEventType.Tick});
			this.linkNeighbours(node);
			this.schedule(periodMs, tick);
		};

		this.schedule(this.random.int(periodMs), tick);
	}

	private linkNeighbours(node: SimulatedRouter): void {
		for (const vm of node.membership.neighbours()) {
			this.link(node, vm);
		}
	}

	private link(node: SimulatedRouter, vm: Vm): void {
		const other = this.nodes.get(vm);
		if (other === undefined || other === node || !other.isRunning || node.links.has(vm)
			|| !this.isDelivered(node.vm, vm) || !this.isDelivered(vm, node.vm)) {
			return;
		}

		node.links.add(vm);
		other.links.add(node.vm);
		this.schedule(latencyMs, () => {
			this.handleLinkUp(node, other);
			this.handleLinkUp(other, node);
		});
	}

	private handleLinkUp(at: SimulatedRouter, from: SimulatedRouter): void {
		if (at.isRunning && from.isRunning) {
			this.applyEvent(at, {
				type: core.members.MembershipEventType.LinkUp,
				from: from.vm,
				incarnation: `${from.vm}-${from.starts}`,
				host: '10.0.0.1',
				port: 7000,
				dataCentre: 'dc-1',
			});
		}
	}

	private send(
		node: SimulatedRouter,
		effect: Exclude<core.members.MembershipEffect, {type: core.members.MembershipEffectType.Changed}>,
	): void {
		const startedAt = performance.now();
		const frame = wire.frames.encodeFrame(toMessage(effect)).unsafeCoerce();
		this.codecMs += performance.now() - startedAt;
		node.messagesSent += 1;
		node.bytesSent += frame.length;
		const to = this.nodes.get(effect.to);
		if (to === undefined || !to.isRunning || !this.isDelivered(node.vm, to.vm)) {
			return;
		}

		this.schedule(latencyMs, () => {
			this.receive(to, node.vm, frame);
		});
	}

	private receive(node: SimulatedRouter, from: Vm, frame: Uint8Array): void {
		if (!node.isRunning) {
			return;
		}

		node.bytesReceived += frame.length;
		const startedAt = performance.now();
		const message = wire.frames.decode(frame.subarray(wire.frames.lengthPrefixBytes)) as wire.frames.FrameMessage;
		const event = toEvent(from, message);
		this.codecMs += performance.now() - startedAt;
		this.applyEvent(node, event);
	}

	private schedule(delayMs: number, run: () => void): void {
		this.scheduledCount += 1;
		this.tasks.push({at: this.now + delayMs, order: this.scheduledCount, run});
	}
}

function toMessage(effect: Exclude<core.members.MembershipEffect, {type: core.members.MembershipEffectType.Changed}>): wire.peer.PingMessage | wire.peer.PingRequestMessage {
	const {spread} = effect;
	switch (effect.type) {
		case core.members.MembershipEffectType.SendPing: {
			return {type: wire.peer.PeerMessageType.Ping, spread};
		}

		case core.members.MembershipEffectType.SendAck: {
			return {type: wire.peer.PeerMessageType.Ack, spread};
		}

		case core.members.MembershipEffectType.SendPingRequest: {
			return {type: wire.peer.PeerMessageType.PingRequest, target: effect.target, spread};
		}
	}
}

function toEvent(from: Vm, message: wire.frames.FrameMessage): core.members.MembershipEvent {
	if (wire.peer.isPingRequestMessage(message)) {
		const {target, spread} = message;
		return {
			type: core.members.MembershipEventType.PingRequest, from, target, spread,
		};
	}

	if (!wire.peer.isPingMessage(message)) {
		throw new Error(`unexpected message type ${message.type}`);
	}

	const type = message.type === wire.peer.PeerMessageType.Ping
		? core.members.MembershipEventType.Ping
		: core.members.MembershipEventType.Ack;
	return {type, from, spread: message.spread};
}
