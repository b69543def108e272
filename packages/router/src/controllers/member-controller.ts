import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import * as wire from '@bluebellmast/wire';
import createDebug from 'debug';
import * as peerAddress from '../peers/peer-address.js';
import type * as peerNetwork from '../peers/peer-network.js';
import type * as clock from '../util/clock.js';
import type * as metrics from '../util/metrics.js';
import type * as controller from './controller.js';
import type * as snapshotController from './snapshot-controller.js';

const debug = createDebug('bluebellmast:members');
const messageType = wire.peer.PeerMessageType;
const eventType = core.members.MembershipEventType;
const effectType = core.members.MembershipEffectType;

/** Maximum number of non-neighbour addresses that are dialled at a time, and milliseconds until the next ones are selected. */
const maxContactAddresses = 12;
const contactRotationMs = 2000;

/** Options of the member controller. */
export type MemberControllerOptions = {
	readonly vm: core.model.VmId;
	readonly incarnation: core.model.Incarnation;
	readonly dataCentre: core.model.DataCentreId;
	/** IP address and port at which this router accepts links. */
	readonly host: string;
	readonly port: number;
	readonly peers: peerNetwork.PeerNetwork;
	readonly vmList: clients.vms.VmListClient;
	/** Peer addresses from the settings. */
	readonly seedAddresses: readonly peerAddress.PeerAddress[];
	readonly clock: clock.Clock;
	readonly metrics?: metrics.Metrics;
	/** Milliseconds between reads of the VM list. Default 5000. */
	readonly listIntervalMs?: number;
	/** Overrides of the membership's defaults; see `core.members.MembershipOptions`. */
	readonly limits?: Partial<core.members.MembershipDefaults>;
};

/** Called with the live members when a member joins, is gone, restarts or starts to leave. */
export type MemberListener = (members: readonly core.members.MemberRecord[]) => void;

/** Maintains the membership by messages over the peer links; the platform's VM list is only a hint. */
export class MemberController implements controller.Controller {
	private readonly options: MemberControllerOptions;
	private readonly membership: core.members.Membership;
	private readonly listeners: MemberListener[] = [];
	private vmList: readonly clients.vms.ListedVm[] | undefined;
	private ticks: clients.timeouts.InputInterval | undefined;
	private listReads: NodeJS.Timeout | undefined;
	private isReadingVmList = false;

	constructor(controllerOptions: MemberControllerOptions) {
		this.options = controllerOptions;
		const startedAt = controllerOptions.clock.now();
		this.membership = new core.members.Membership({
			...controllerOptions.limits,
			vm: controllerOptions.vm,
			incarnation: controllerOptions.incarnation,
			host: controllerOptions.host,
			port: controllerOptions.port,
			dataCentre: controllerOptions.dataCentre,
			seed: core.util.hash32(controllerOptions.incarnation) % 0x7F_FF_FF_FF,
			startedAt,
		});
		this.registerHandlers();
	}

	async start(): Promise<void> {
		const periodMs = this.options.limits?.periodMs ?? core.members.membershipDefaults.periodMs;
		this.ticks = new clients.timeouts.InputInterval(periodMs, () => {
			this.step({type: eventType.Tick});
		});
		this.listReads = setInterval(() => {
			void this.readVmList();
		}, this.options.listIntervalMs ?? 5000);
		void this.readVmList();
	}

	/** Announces that this router has left, so that the others do not need to detect it. */
	async stop(): Promise<void> {
		this.ticks?.clear();
		clearInterval(this.listReads);
		this.step({type: eventType.LeaveFinished});
	}

	/** Announces that this router is about to stop; called at the start of a graceful shutdown. */
	announceLeaving(): void {
		this.step({type: eventType.LeaveStarted});
	}

	/** Adds a listener; it is also called immediately. */
	onChange(listener: MemberListener): void {
		this.listeners.push(listener);
		listener(this.liveRecords());
	}

	/** Returns the VMs of the live members, including this router. */
	liveMembers(): readonly core.model.VmId[] {
		return this.liveRecords().map(record => record.vm);
	}

	/** Returns the records of the live members; `leaving` is also set if the platform's VM list says so. */
	liveRecords(): readonly core.members.MemberRecord[] {
		const leavingVms = new Set((this.vmList ?? []).filter(entry => entry.leaving).map(entry => entry.vm));
		return this.membership.present().map(record => leavingVms.has(record.vm) ? {...record, leaving: true} : record);
	}

	/**
	 * Returns the VMs on the platform's latest VM list that run a router. Before the first list is read, returns all routers with a
	 * member record and, as placeholders, the addresses from the settings that belong to none of them: a router that does not know
	 * any other router yet must not count as a majority on its own.
	 */
	listedVms(): readonly core.model.VmId[] {
		if (this.vmList !== undefined) {
			return this.vmList.filter(entry => entry.peerPort !== 0).map(entry => entry.vm);
		}

		const records = this.membership.records();
		const known = new Set(records.map(record => peerAddress.formatAddress(record)));
		const unknown = this.options.seedAddresses.map(address => peerAddress.formatAddress(address)).filter(address => !known.has(address));
		return [...records.map(record => record.vm), ...unknown];
	}

	/** Returns the IP addresses of listed VMs without a router that are about to be removed; endpoints on them are leaving. */
	leavingEndpointHosts(): ReadonlySet<string> {
		const leaving = (this.vmList ?? []).filter(entry => entry.leaving && entry.peerPort === 0);
		return new Set(leaving.map(entry => entry.host));
	}

	/** Returns the incarnation of a live member, or `undefined` if the VM is not one. */
	incarnationOf(vm: core.model.VmId): core.model.Incarnation | undefined {
		const record = this.membership.get(vm);
		return record !== undefined && core.members.isPresent(record) ? record.incarnation : undefined;
	}

	/** Returns whether an incarnation has ended; see `core.members.IncarnationHistory.isGone`. */
	isGone(vm: core.model.VmId, incarnation: core.model.Incarnation): boolean {
		return this.membership.hasEnded(vm, incarnation, this.options.clock.now());
	}

	/** Returns the addresses to keep links to: the neighbours and a rotating selection of addresses without a known live member. */
	addresses(): readonly peerAddress.PeerAddress[] {
		return [...this.neighbourAddresses(), ...this.contactAddresses()];
	}

	/** Returns the address of a live member, for a link on demand. */
	findAddress(vm: core.model.VmId): peerAddress.PeerAddress | undefined {
		const record = this.membership.get(vm);
		return record !== undefined && core.members.isPresent(record) ? record : undefined;
	}

	/** Creates the part of the snapshot for starting routers that has the member records. */
	snapshotSource(): snapshotController.SnapshotSource {
		return {
			name: 'members',
			capture: () => this.membership.records(),
			restore: body => {
				if (wire.peer.isMemberRecordList(body)) {
					this.step({type: eventType.RecordsReceived, records: body});
				}
			},
		};
	}

	private neighbourAddresses(): peerAddress.PeerAddress[] {
		return this.membership.neighbours().map(vm => {
			const {host, port} = this.membership.get(vm)!;
			return {host, port, vm};
		});
	}

	private contactAddresses(): peerAddress.PeerAddress[] {
		const present = new Set(this.membership.present().map(record => `${record.host}:${record.port}`));
		const candidates = new Map<string, peerAddress.PeerAddress>();
		const listed = (this.vmList ?? []).map(({vm, host, peerPort}) => ({vm, host, port: peerPort}));
		const absent = this.membership.records().filter(record => !core.members.isPresent(record));
		for (const {host, port} of [...this.options.seedAddresses, ...listed, ...absent]) {
			const key = `${host}:${port}`;
			if (!present.has(key)) {
				candidates.set(key, {host, port});
			}
		}

		const all = [...candidates.values()];
		const start = Math.floor(this.options.clock.now() / contactRotationMs) * maxContactAddresses;
		return all.length <= maxContactAddresses
			? all
			: Array.from({length: maxContactAddresses}, (_, i) => all[(start + i) % all.length]!);
	}

	private registerHandlers(): void {
		const {peers} = this.options;
		peers.on(messageType.Hello, (from, message) => {
			const {incarnation, host, port, dataCentre} = message as wire.peer.Hello;
			this.step({
				type: eventType.LinkUp, from, incarnation, host, port, dataCentre,
			});
		});
		peers.on(messageType.Ping, (from, message) => {
			if (wire.peer.isPingMessage(message)) {
				this.step({type: eventType.Ping, from, spread: message.spread});
			}
		});
		peers.on(messageType.Ack, (from, message) => {
			if (wire.peer.isPingMessage(message)) {
				this.step({type: eventType.Ack, from, spread: message.spread});
			}
		});
		peers.on(messageType.PingRequest, (from, message) => {
			if (wire.peer.isPingRequestMessage(message)) {
				const {target, spread} = message;
				this.step({
					type: eventType.PingRequest, from, target, spread,
				});
			}
		});
	}

	private async readVmList(): Promise<void> {
		if (this.isReadingVmList) {
			return;
		}

		this.isReadingVmList = true;
		const list = await this.options.vmList.list();
		this.isReadingVmList = false;
		if (list === undefined) {
			this.options.metrics?.increment('members.list_unanswered');
			return;
		}

		const isNew = JSON.stringify(list) !== JSON.stringify(this.vmList);
		this.vmList = list;
		if (isNew) {
			this.notifyListeners();
		}
	}

	private step(event: core.members.MembershipEvent): void {
		const effects = this.membership.step(event, this.options.clock.now());
		let isChanged = false;
		for (const effect of effects) {
			isChanged = this.executeEffect(effect) || isChanged;
		}

		if (isChanged) {
			this.options.metrics?.gauge('members.live', this.membership.present().length);
			this.notifyListeners();
		}
	}

	/** Carries out one effect. Returns whether it changed a record. */
	private executeEffect(effect: core.members.MembershipEffect): boolean {
		const {peers} = this.options;
		switch (effect.type) {
			case effectType.SendPing: {
				peers.send(effect.to, this.createPing(messageType.Ping, effect.spread));
				return false;
			}

			case effectType.SendAck: {
				peers.send(effect.to, this.createPing(messageType.Ack, effect.spread));
				return false;
			}

			case effectType.SendPingRequest: {
				const request: wire.peer.PingRequestMessage = {
					type: messageType.PingRequest, target: effect.target, spread: effect.spread,
				};
				peers.send(effect.to, request);
				return false;
			}

			case effectType.Changed: {
				const {vm, status, incarnation} = effect.record;
				debug('%s %s is %s', vm, incarnation, status);
				this.options.metrics?.increment('members.changed', 1, {status});
				return true;
			}
		}
	}

	private createPing(
		type: wire.peer.PingMessage['type'],
		spread: core.members.GossipPayload,
	): wire.peer.PingMessage {
		return {type, spread};
	}

	private notifyListeners(): void {
		const records = this.liveRecords();
		for (const listener of this.listeners) {
			listener(records);
		}
	}
}
