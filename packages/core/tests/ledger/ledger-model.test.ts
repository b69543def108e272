import {expect} from 'chai';
import fc from 'fast-check';
import * as ledgerWorld from './ledger-world.js';
import * as core from '@bluebellmast/core';

const {AttemptResult: attemptResult, VerdictType: verdictType} = core.ledger;

type Action = (world: ledgerWorld.LedgerWorld) => void;

const keys = ['k0', 'k1', 'k2'];
const position = fc.nat(1000);

/** Names an action, so that a failing run prints as a trace. */
function action(name: string, act: Action): Action {
	return Object.assign(act, {toString: () => name, [fc.toStringMethod]: () => name});
}

function pick<Item>(items: readonly Item[], index: number): Item | undefined {
	return items.length === 0 ? undefined : items[index % items.length];
}

function withRequest(world: ledgerWorld.LedgerWorld, index: number, act: (request: ledgerWorld.WorldRequest) => void): void {
	const request = pick(world.requests, index);
	if (request !== undefined) {
		act(request);
	}
}

const begin = fc.tuple(fc.nat(2), fc.constantFrom(...keys), fc.constantFrom('d0', 'd0', 'd0', 'd1'), fc.constantFrom(100, 2000))
	.map(([router, key, digest, deadlineMs]) => action(`begin ${key} ${digest} at ${router}`, world => {
		world.begin(world.routers[router]!, key, digest, deadlineMs);
	}));
const deliver = position.map(index => action(`deliver ${index}`, world => {
	world.deliver(index % Math.max(1, world.messages.length));
}));
const drop = position.map(index => action(`drop ${index}`, world => {
	world.messages.splice(index % Math.max(1, world.messages.length), 1);
}));
const okCall = position.map(index => action(`call ${index}`, world => {
	world.endCall(index % Math.max(1, world.calls.length), ledgerWorld.CallFate.Ok);
}));
const faultyCall = fc.tuple(position, fc.constantFrom(...Object.values(ledgerWorld.CallFate)))
	.map(([index, fate]) => action(`call ${index} ${fate}`, world => {
		world.endCall(index % Math.max(1, world.calls.length), fate);
	}));
const applyDelayed = position.map(index => action(`apply delayed ${index}`, world => {
	world.applyDelayed(index % Math.max(1, world.delayed.length));
}));
const send = position.map(index => action(`send ${index}`, world => {
	withRequest(world, index, request => {
		world.send(request);
	});
}));
const settle = fc.tuple(position, fc.constantFrom(...Object.values(attemptResult)))
	.map(([index, result]) => action(`settle ${index} ${result}`, world => {
		withRequest(world, index, request => {
			world.settle(request, result);
		});
	}));
const crash = fc.nat(2).map(router => action(`crash ${router}`, world => {
	world.crash(world.routers[router]!);
}));
const view = fc.tuple(fc.nat(2), fc.subarray([0, 1, 2])).map(([router, members]) => action(`view ${router}: ${members.join(',')}`, world => {
	world.setMembers(world.routers[router]!, members);
}));
const advance = fc.constantFrom(1, 10, 70, 700).map(ms => action(`advance ${ms}`, world => {
	world.advance(ms);
}));

const actions = fc.array(fc.oneof(
	{weight: 4, arbitrary: begin},
	{weight: 5, arbitrary: deliver},
	{weight: 1, arbitrary: drop},
	{weight: 6, arbitrary: okCall},
	{weight: 3, arbitrary: faultyCall},
	{weight: 1, arbitrary: applyDelayed},
	{weight: 4, arbitrary: send},
	{weight: 3, arbitrary: settle},
	{weight: 1, arbitrary: crash},
	{weight: 1, arbitrary: view},
	{weight: 3, arbitrary: advance},
), {minLength: 10, maxLength: 120, size: 'max'});

/** Ends every request that is open, then repeats every key at every router. */
function closeWorld(world: ledgerWorld.LedgerWorld): void {
	world.rest();
	for (const request of world.requests) {
		const isLost = request.incarnation !== request.router.incarnation;
		expect(isLost || request.verdict !== undefined, `${request.intent.attempt} has no verdict`).to.equal(true);
		world.send(request);
		world.settle(request, attemptResult.ResponseComplete);
		world.settle(request, attemptResult.NeverSent);
	}

	world.rest();
	for (const key of keys) {
		for (const router of world.routers) {
			world.begin(router, key, 'd0');
			world.rest();
			const repeat = world.requests.at(-1)!;
			expect(repeat.verdict, 'verdict of a repeat').to.not.be.oneOf([undefined, verdictType.InProgress, verdictType.Unavailable, verdictType.Full]);
			world.send(repeat);
			world.settle(repeat, attemptResult.ResponseComplete);
			world.rest();
		}
	}

	for (const router of world.routers) {
		expect(core.ledger.isLedgerIdle(router.node)).to.equal(true);
	}
}

describe('ledger over generated interleavings', () => {
	it('runs each key at most once, refuses truthfully and repeats the recorded answer', () => {
		let steps = 0;
		fc.assert(fc.property(actions, list => {
			const world = new ledgerWorld.LedgerWorld(3);
			for (const act of list) {
				act(world);
			}

			closeWorld(world);
			steps += world.steps;
		}), {seed: 4, numRuns: 400});
		expect(steps).to.be.above(10_000);
	}).timeout(60_000);
});
