import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const {MembershipEventType: eventType, MembershipEffectType: effectType, MemberStatus: statuses} = core.members;
const periodMs = 500;
/** "A sound server may fall silent for a second or so and go on." */
const silenceMs = 1800;

type Delivery = {readonly to: string; readonly event: core.members.MembershipEvent};

/** Routers with links that deliver at once, but for those of the silent router, whose messages wait until its silence ends. */
class Fleet {
	readonly statuses: core.members.MemberStatus[] = [];
	silent: string | undefined;
	readonly #routers = new Map<string, core.members.Membership>();
	#waiting: Delivery[] = [];

	constructor(size: number) {
		const vms = Array.from({length: size}, (_, index) => `vm-${index}`);
		for (const [seed, vm] of vms.entries()) {
			this.#routers.set(vm, new core.members.Membership({
				vm, incarnation: `${vm}/1`, host: '10.0.0.1', port: 1, dataCentre: 'a', seed, startedAt: 0,
			}));
		}

		const records = [...this.#routers.values()].flatMap(router => router.records());
		for (const vm of vms) {
			this.deliver({to: vm, event: {type: eventType.RecordsReceived, records}}, 0);
		}
	}

	tick(now: number): void {
		for (const vm of this.#routers.keys()) {
			this.deliver({to: vm, event: {type: eventType.Tick}}, now);
		}
	}

	endSilence(now: number): void {
		this.silent = undefined;
		const waiting = this.#waiting;
		this.#waiting = [];
		for (const delivery of waiting) {
			this.deliver(delivery, now);
		}
	}

	deliver({to, event}: Delivery, now: number): void {
		if (to === this.silent) {
			// A process that is paused runs no timers.
			this.#waiting.push(...(event.type === eventType.Tick ? [] : [{to, event}]));
			return;
		}

		for (const effect of this.#routers.get(to)!.step(event, now)) {
			this.#carryOut(to, effect, now);
		}
	}

	#carryOut(from: string, effect: core.members.MembershipEffect, now: number): void {
		switch (effect.type) {
			case effectType.SendPing: {
				this.deliver({to: effect.to, event: {type: eventType.Ping, from, spread: effect.spread}}, now);
				return;
			}

			case effectType.SendAck: {
				this.deliver({to: effect.to, event: {type: eventType.Ack, from, spread: effect.spread}}, now);
				return;
			}

			case effectType.SendPingRequest: {
				const {to, target, spread} = effect;
				this.deliver({
					to, event: {
						type: eventType.PingRequest, from, target, spread,
					},
				}, now);
				return;
			}

			case effectType.Changed: {
				this.statuses.push(effect.record.status);
			}
		}
	}
}

// Guards against keys and shards that are taken from a router which is only silent for a moment: of a dead one, attempts count as lost.
describe('Membership', () => {
	for (const size of [2, 7, 40]) {
		it(`suspects a router of ${size} that is silent for ${silenceMs} ms, and never declares it dead`, () => {
			let suspicions = 0;
			for (let offsetMs = 0; offsetMs < periodMs; offsetMs += 100) {
				const fleet = new Fleet(size);
				for (let now = 0; now < 20_000; now += 100) {
					if (now === 8000 + offsetMs) {
						fleet.silent = 'vm-1';
					}

					if (now === 8000 + offsetMs + silenceMs) {
						fleet.endSilence(now);
					}

					if (now % periodMs === 0) {
						fleet.tick(now);
					}
				}

				expect(fleet.statuses).not.to.include(statuses.Dead);
				suspicions += fleet.statuses.filter(status => status === statuses.Suspect).length;
			}

			expect(suspicions).to.be.greaterThan(0);
		});
	}
});
