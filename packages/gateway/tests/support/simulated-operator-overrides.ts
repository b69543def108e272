import * as core from '@bluebellmast/core';
import * as returningStore from './returning-store.js';
import * as virtualTime from './virtual-time.js';
import * as gateway from '@bluebellmast/gateway';

const {controllers} = gateway;
const tickMs = 200;
const itemsPerPage = 500;

/** A VM with what follows the overrides of operators. */
export class SimulatedOverrideVm {
	readonly events: Array<{readonly event: core.log.LogEvent; readonly fields: Readonly<Record<string, unknown>>; readonly at: number}> = [];
	readonly link: returningStore.Link;
	readonly quarantine: gateway.controllers.QuarantineController;
	readonly #feed: gateway.controllers.StoreFeed;
	#isStopped = false;

	constructor(private readonly simulation: SimulatedOperatorOverrides, vmCount: number) {
		const {time, store, random} = simulation;
		this.link = {
			isCut: false, losesResponses: false, responseDelayMs: 0,
			schedule(ms, run) {
				time.schedule(ms, run);
			},
		};
		const clock: gateway.util.Clocks = {monotonicNow: () => time.now, suspendAwareNow: () => time.now, wallNow: () => simulation.wallNow};
		const log: gateway.util.EventLog = {
			write: (event, fields) => {
				this.events.push({event, fields, at: time.now});
			},
		};
		this.quarantine = new controllers.QuarantineController({
			clock, log, onPendingEvidence: () => undefined, onQuarantined: () => undefined,
		});
		const client = store.createClient(this.link);
		const quarantineStore = new controllers.QuarantineStore({
			store: client, lease: {isLeading: false}, quarantine: this.quarantine, clock, log,
		});
		this.#feed = new controllers.StoreFeed({
			store: client,
			eras: client.eras,
			prefix: '',
			listener: new controllers.PrefixListeners([
				{prefix: controllers.operatorOverridesKey, listener: new controllers.OperatorOverrideListener({quarantine: this.quarantine, clock, log})},
				{prefix: controllers.quarantineKey, listener: quarantineStore},
			]),
			pollPauseMs: () => core.fleet.computePollPauseMs(vmCount),
			returnDelayMs: () => random.int(1000) / 1000 * core.fleet.computePollPauseMs(vmCount),
			sleep: async ms => new Promise(resolve => {
				time.schedule(ms, resolve);
			}),
			clock,
			log,
		});
		void this.#feed.run();
		this.#tick();
	}

	/** Whether the VM refuses requests with a part. */
	refuses(part: string): boolean {
		return this.quarantine.match([part]) !== undefined;
	}

	/** Records three ends with a part. */
	recordEnds(part: string): void {
		const {now} = this.simulation.time;
		for (const number of [1, 2, 3]) {
			this.quarantine.recordInterruption({
				endpoint: {id: `${part}-${number}`, bornAt: now}, at: now - (number * 100),
				requests: [{sharedParts: [part], requestKey: `own-${number}`, hasBegun: true}],
			});
		}
	}

	stop(): void {
		this.#isStopped = true;
		this.#feed.stop();
	}

	#tick(): void {
		if (!this.#isStopped) {
			this.quarantine.tick();
			this.simulation.time.schedule(tickMs, () => {
				this.#tick();
			});
		}
	}
}

/** VMs that follow a store in virtual time, and an operator who writes overrides. */
export class SimulatedOperatorOverrides {
	readonly time = new virtualTime.VirtualTime();
	readonly random: core.util.SeededRandom;
	readonly store: returningStore.ReturningStore;
	vms: SimulatedOverrideVm[];

	constructor(private readonly vmCount: number, seed: number) {
		this.random = new core.util.SeededRandom(seed);
		this.store = new returningStore.ReturningStore(this.time, this.random, itemsPerPage);
		this.vms = this.#createVms();
	}

	/** Time in milliseconds since the Unix epoch. */
	get wallNow(): number {
		return 1_700_000_000_000 + this.time.now;
	}

	/** Writes an operator's override at once. */
	say(part: string, action: core.quarantine.OperatorAction, lifetimeMs = 600_000): void {
		const {operatorOverridesKey} = controllers;
		const item = this.store.items.get(operatorOverridesKey);
		const overrides = item === undefined ? [] : controllers.decodeOperatorOverrides(item.value).unsafeCoerce();
		const next = core.quarantine.applyOperatorOrder(overrides, {
			part, action, lifetimeMs, by: 'alice', reason: 'test',
		}, this.wallNow).unsafeCoerce();
		this.store.write(operatorOverridesKey, controllers.encodeOperatorOverrides(next));
	}

	/** Ends all VMs at once, and starts new ones. */
	restartVms(): void {
		for (const vm of this.vms) {
			vm.stop();
		}

		this.vms = this.#createVms();
	}

	async advance(ms: number): Promise<void> {
		await this.time.runUntil(this.time.now + ms);
	}

	/** Number of VMs that refuse requests with a part. */
	countRefusing(part: string): number {
		return this.vms.filter(vm => vm.refuses(part)).length;
	}

	#createVms(): SimulatedOverrideVm[] {
		return Array.from({length: this.vmCount}, () => new SimulatedOverrideVm(this, this.vmCount));
	}
}
