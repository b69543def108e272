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
	/** Real time spent in membership steps, in milliseconds. */
	stepMs = 0;
	/** Real time spent in encoding and decoding messages, in milliseconds. */
	codecMs = 0;
	readonly routers = new Map<Vm, SimulatedRouter>();
	/** Returns whether messages from one router reach another. */
	isDelivered: DeliveryFilter;

	private readonly tasks = new TaskQueue();
	private readonly random: core.util.SeededRandom;
	private scheduledCount = 0;

	constructor(private readonly seed: number, private readonly options: Partial<core.members.MembershipOptions> = {}) {
		this.isDelivered = () => true;
		this.random = new core.util.SeededRandom(seed);
	}

	/** Adds a router, starts it and links it to the seed routers. */
	add(vm: Vm, seedRouters: readonly Vm[]): SimulatedRouter {
		const router: SimulatedRouter = {
			vm, membership: this.createMembership(vm, 1), isRunning: true, starts: 1, links: new Set(),
			messagesSent: 0, bytesSent: 0, bytesReceived: 0,
		};
		this.routers.set(vm, router);
		this.startRouter(router, seedRouters);
		return router;
	}

	/** Stops a router abruptly, without messages to others. */
	kill(vm: Vm): void {
		const router = this.routers.get(vm)!;
		router.isRunning = false;
		router.links.clear();
		for (const other of this.routers.values()) {
			other.links.delete(vm);
		}
	}

	/** Restarts a killed router as a new incarnation. */
	restart(vm: Vm, seedRouters: readonly Vm[]): void {
		const router = this.routers.get(vm)!;
		router.starts += 1;
		router.membership = this.createMembership(vm, router.starts);
		router.isRunning = true;
		this.startRouter(router, seedRouters);
	}

	/** Replaces the link between two routers by a new one. */
	relink(a: Vm, b: Vm): void {
		const [first, second] = [this.routers.get(a)!, this.routers.get(b)!];
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
		return [...this.routers.values()].filter(router => router.isRunning);
	}

	/** Returns whether the present members at every running router are exactly the running routers, all alive. */
	isConverged(): boolean {
		const running = this.listRunning();
		return running.every(router => {
			const present = router.membership.present();
			return present.length === running.length && present.every(record => (
				record.status === core.members.MemberStatus.Alive && this.routers.get(record.vm)!.isRunning
			));
		});
	}

	/** Applies an event to a router's membership and sends the resulting messages. */
	applyEvent(router: SimulatedRouter, event: core.members.MembershipEvent): void {
		const startedAt = performance.now();
		const effects = router.membership.step(event, this.now);
		this.stepMs += performance.now() - startedAt;
		for (const effect of effects) {
			if (effect.type !== core.members.MembershipEffectType.Changed) {
				this.send(router, effect);
			}
		}
	}

	private createMembership(vm: Vm, starts: number): core.members.Membership {
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

	private startRouter(router: SimulatedRouter, seedRouters: readonly Vm[]): void {
		for (const seedRouter of seedRouters) {
			this.link(router, seedRouter);
		}

		const {membership} = router;
		const periodMs = this.options.periodMs ?? core.members.membershipDefaults.periodMs;
		const tick = (): void => {
			if (!router.isRunning || router.membership !== membership) {
				return;
			}

			this.applyEvent(router, {type: core.members.MembershipEventType.Tick});
			this.linkNeighbours(router);
			this.schedule(periodMs, tick);
		};

		this.schedule(this.random.int(periodMs), tick);
	}

	private linkNeighbours(router: SimulatedRouter): void {
		for (const vm of router.membership.neighbours()) {
			this.link(router, vm);
		}
	}

	private link(router: SimulatedRouter, vm: Vm): void {
		const other = this.routers.get(vm);
		if (other === undefined || other === router || !other.isRunning || router.links.has(vm)
			|| !this.isDelivered(router.vm, vm) || !this.isDelivered(vm, router.vm)) {
			return;
		}

		router.links.add(vm);
		other.links.add(router.vm);
		this.schedule(latencyMs, () => {
			this.handleLinkUp(router, other);
			this.handleLinkUp(other, router);
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
		router: SimulatedRouter,
		effect: Exclude<core.members.MembershipEffect, {type: core.members.MembershipEffectType.Changed}>,
	): void {
		const startedAt = performance.now();
		const frame = wire.frames.encodeFrame(toMessage(effect)).unsafeCoerce();
		this.codecMs += performance.now() - startedAt;
		router.messagesSent += 1;
		router.bytesSent += frame.length;
		const to = this.routers.get(effect.to);
		if (to === undefined || !to.isRunning || !this.isDelivered(router.vm, to.vm)) {
			return;
		}

		this.schedule(latencyMs, () => {
			this.receive(to, router.vm, frame);
		});
	}

	private receive(router: SimulatedRouter, from: Vm, frame: Uint8Array): void {
		if (!router.isRunning) {
			return;
		}

		router.bytesReceived += frame.length;
		const startedAt = performance.now();
		const message = wire.frames.decode(frame.subarray(wire.frames.lengthPrefixBytes)) as wire.frames.FrameMessage;
		const event = toEvent(from, message);
		this.codecMs += performance.now() - startedAt;
		this.applyEvent(router, event);
	}

	private schedule(delayMs: number, run: () => void): void {
		this.scheduledCount += 1;
		this.tasks.push({at: this.now + delayMs, order: this.scheduledCount, run});
	}
}

/** Converts an effect to the message that is sent; `spread` holds the gossiped member records. */
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
		throw new Error(`the simulation received a message of type ${message.type}, which is not a membership message`);
	}

	const type = message.type === wire.peer.PeerMessageType.Ping
		? core.members.MembershipEventType.Ping
		: core.members.MembershipEventType.Ack;
	return {type, from, spread: message.spread};
}
