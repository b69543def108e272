import {performance} from 'node:perf_hooks';
import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';

type Vm = core.model.VmId;

/** Sums over one router of the run. */
export type FleetNode = {
	readonly vm: Vm;
	membership: core.members.Membership;
	running: boolean;
	/** Counts starts, for incarnations. */
	starts: number;
	readonly links: Set<Vm>;
	messagesSent: number;
	bytesSent: number;
	bytesReceived: number;
};

type PassFilter = (from: Vm, to: Vm) => boolean;

type Task = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

const latencyMs = 1;

/** Earliest task first, in a binary heap. */
class TaskQueue {
	private readonly heap: Task[] = [];

	get next(): Task | undefined {
		return this.heap[0];
	}

	push(task: Task): void {
		let index = this.heap.push(task) - 1;
		while (index > 0) {
			const parent = (index - 1) >> 1; // eslint-disable-line no-bitwise
			if (!this.before(index, parent)) {
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
			this.sink();
		}

		return top;
	}

	private sink(): void {
		let index = 0;
		for (;;) {
			const left = (2 * index) + 1;
			if (left >= this.heap.length) {
				return;
			}

			const child = left + 1 < this.heap.length && this.before(left + 1, left) ? left + 1 : left;
			if (!this.before(child, index)) {
				return;
			}

			this.swap(index, child);
			index = child;
		}
	}

	private before(a: number, b: number): boolean {
		const [first, second] = [this.heap[a]!, this.heap[b]!];
		return first.at < second.at || (first.at === second.at && first.order < second.order);
	}

	private swap(a: number, b: number): void {
		[this.heap[a], this.heap[b]] = [this.heap[b]!, this.heap[a]!];
	}
}

/** Runs the pure membership steps of many routers in one process, over virtual time and a fake network. */
export class MemberFleet {
	now = 1_700_000_000_000;
	/** Processor time spent in steps and in encoding and decoding, in milliseconds. */
	stepMs = 0;
	codecMs = 0;
	readonly nodes = new Map<Vm, FleetNode>();
	/** Whether a message from one router reaches another. */
	passes: PassFilter;

	private readonly tasks = new TaskQueue();
	private readonly generator: core.util.SeededRandom;
	private order = 0;

	constructor(private readonly seed: number, private readonly options: Partial<core.members.MembershipOptions> = {}) {
		this.passes = () => true;
		this.generator = new core.util.SeededRandom(seed);
	}

	/** Adds a router and starts it, linked to the seeds. */
	add(vm: Vm, seeds: readonly Vm[]): FleetNode {
		const node: FleetNode = {
			vm, membership: this.create(vm, 1), running: true, starts: 1, links: new Set(),
			messagesSent: 0, bytesSent: 0, bytesReceived: 0,
		};
		this.nodes.set(vm, node);
		this.begin(node, seeds);
		return node;
	}

	/** Ends a router without a word. */
	kill(vm: Vm): void {
		const node = this.nodes.get(vm)!;
		node.running = false;
		node.links.clear();
		for (const other of this.nodes.values()) {
			other.links.delete(vm);
		}
	}

	/** Starts a killed router as a new incarnation. */
	restart(vm: Vm, seeds: readonly Vm[]): void {
		const node = this.nodes.get(vm)!;
		node.starts += 1;
		node.membership = this.create(vm, node.starts);
		node.running = true;
		this.begin(node, seeds);
	}

	/** Opens a new link between two routers. */
	relink(a: Vm, b: Vm): void {
		const [first, second] = [this.nodes.get(a)!, this.nodes.get(b)!];
		first.links.delete(b);
		second.links.delete(a);
		this.link(first, b);
	}

	/** Lets virtual time pass. */
	run(durationMs: number): void {
		const end = this.now + durationMs;
		while (this.tasks.next !== undefined && this.tasks.next.at <= end) {
			const task = this.tasks.pop();
			this.now = task.at;
			task.run();
		}

		this.now = end;
	}

	/** Lets time pass in steps until a condition holds. Returns the milliseconds, or `undefined` at the limit. */
	runUntil(condition: () => boolean, limitMs: number, stepMs = 100): number | undefined {
		for (let passed = 0; passed <= limitMs; passed += stepMs) {
			if (condition()) {
				return passed;
			}

			this.run(stepMs);
		}

		return undefined;
	}

	running(): FleetNode[] {
		return [...this.nodes.values()].filter(node => node.running);
	}

	/** Returns whether all running routers see exactly the running routers as alive. */
	agreed(): boolean {
		const running = this.running();
		return running.every(node => {
			const present = node.membership.present();
			return present.length === running.length && present.every(record => (
				record.status === core.members.MemberStatus.Alive && this.nodes.get(record.vm)!.running
			));
		});
	}

	/** Gives an event to a router. */
	step(node: FleetNode, event: core.members.MembershipEvent): void {
		const begin = performance.now();
		const effects = node.membership.step(event, this.now);
		this.stepMs += performance.now() - begin;
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

	private begin(node: FleetNode, seeds: readonly Vm[]): void {
		for (const seed of seeds) {
			this.link(node, seed);
		}

		const {membership} = node;
		const periodMs = this.options.periodMs ?? core.members.membershipDefaults.periodMs;
		const tick = (): void => {
			if (!node.running || node.membership !== membership) {
				return;
			}

			this.step(node, {type: core.members.MembershipEventType.Tick});
			this.holdLinks(node);
			this.schedule(periodMs, tick);
		};

		this.schedule(this.generator.int(periodMs), tick);
	}

	private holdLinks(node: FleetNode): void {
		for (const vm of node.membership.neighbours()) {
			this.link(node, vm);
		}
	}

	private link(node: FleetNode, vm: Vm): void {
		const other = this.nodes.get(vm);
		if (other === undefined || other === node || !other.running || node.links.has(vm)
			|| !this.passes(node.vm, vm) || !this.passes(vm, node.vm)) {
			return;
		}

		node.links.add(vm);
		other.links.add(node.vm);
		this.schedule(latencyMs, () => {
			this.linkUp(node, other);
			this.linkUp(other, node);
		});
	}

	private linkUp(at: FleetNode, from: FleetNode): void {
		if (at.running && from.running) {
			this.step(at, {
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
		node: FleetNode,
		effect: Exclude<core.members.MembershipEffect, {type: core.members.MembershipEffectType.Changed}>,
	): void {
		const begin = performance.now();
		const frame = wire.frames.encodeFrame(messageOf(effect)).unsafeCoerce();
		this.codecMs += performance.now() - begin;
		node.messagesSent += 1;
		node.bytesSent += frame.length;
		const to = this.nodes.get(effect.to);
		if (to === undefined || !to.running || !this.passes(node.vm, to.vm)) {
			return;
		}

		this.schedule(latencyMs, () => {
			this.receive(to, node.vm, frame);
		});
	}

	private receive(node: FleetNode, from: Vm, frame: Uint8Array): void {
		if (!node.running) {
			return;
		}

		node.bytesReceived += frame.length;
		const begin = performance.now();
		const message = wire.frames.decode(frame.subarray(wire.frames.lengthPrefixBytes)) as wire.frames.FrameMessage;
		const event = eventOf(from, message);
		this.codecMs += performance.now() - begin;
		this.step(node, event);
	}

	private schedule(delayMs: number, run: () => void): void {
		this.order += 1;
		this.tasks.push({at: this.now + delayMs, order: this.order, run});
	}
}

function messageOf(effect: Exclude<core.members.MembershipEffect, {type: core.members.MembershipEffectType.Changed}>): wire.peer.PingMessage | wire.peer.PingRequestMessage {
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

function eventOf(from: Vm, message: wire.frames.FrameMessage): core.members.MembershipEvent {
	if (wire.peer.isPingRequestMessage(message)) {
		const {target, spread} = message;
		return {
			type: core.members.MembershipEventType.PingRequest, from, target, spread,
		};
	}

	if (!wire.peer.isPingMessage(message)) {
		throw new Error(`malformed ${message.type}`);
	}

	const type = message.type === wire.peer.PeerMessageType.Ping
		? core.members.MembershipEventType.Ping
		: core.members.MembershipEventType.Ack;
	return {type, from, spread: message.spread};
}
