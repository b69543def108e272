import {expect} from 'chai';
import fc from 'fast-check';
import * as ledgerSimulation from './ledger-simulation.js';
import * as core from '@bluebellmast/core';

const {AttemptResult: attemptResult, VerdictType: verdictType} = core.ledger;

type Action = (simulation: ledgerSimulation.LedgerSimulation) => void;

const keys = ['k0', 'k1', 'k2'];
const anyIndex = fc.nat(1000);

/** Gives an action a name, so that fast-check prints the actions of a failing run as a trace. */
function nameAction(name: string, action: Action): Action {
	return Object.assign(action, {toString: () => name, [fc.toStringMethod]: () => name});
}

function pick<Item>(items: readonly Item[], position: number): Item | undefined {
	return items.length === 0 ? undefined : items[position % items.length];
}

function withRequest(simulation: ledgerSimulation.LedgerSimulation, index: number, use: (request: ledgerSimulation.SimulatedRequest) => void): void {
	const request = pick(simulation.requests, index);
	if (request !== undefined) {
		use(request);
	}
}

const begin = fc.tuple(fc.nat(2), fc.constantFrom(...keys), fc.constantFrom('d0', 'd0', 'd0', 'd1'), fc.constantFrom(100, 2000))
	.map(([router, key, digest, deadlineMs]) => nameAction(`begin ${key} ${digest} at ${router}`, simulation => {
		simulation.begin(simulation.routers[router]!, key, digest, deadlineMs);
	}));
const deliver = anyIndex.map(index => nameAction(`deliver ${index}`, simulation => {
	simulation.deliver(index % Math.max(1, simulation.messages.length));
}));
const drop = anyIndex.map(index => nameAction(`drop ${index}`, simulation => {
	simulation.messages.splice(index % Math.max(1, simulation.messages.length), 1);
}));
const successfulCall = anyIndex.map(index => nameAction(`call ${index}`, simulation => {
	simulation.endCall(index % Math.max(1, simulation.calls.length), ledgerSimulation.SimulatedCallResult.Ok);
}));
const faultyCall = fc.tuple(anyIndex, fc.constantFrom(...Object.values(ledgerSimulation.SimulatedCallResult)))
	.map(([index, result]) => nameAction(`call ${index} ${result}`, simulation => {
		simulation.endCall(index % Math.max(1, simulation.calls.length), result);
	}));
const applyDelayedSwap = anyIndex.map(index => nameAction(`apply delayed swap ${index}`, simulation => {
	simulation.applyDelayedSwap(index % Math.max(1, simulation.delayedSwaps.length));
}));
const send = anyIndex.map(index => nameAction(`send ${index}`, simulation => {
	withRequest(simulation, index, request => {
		simulation.send(request);
	});
}));
const settle = fc.tuple(anyIndex, fc.constantFrom(...Object.values(attemptResult)))
	.map(([index, result]) => nameAction(`settle ${index} ${result}`, simulation => {
		withRequest(simulation, index, request => {
			simulation.settle(request, result);
		});
	}));
const crash = fc.nat(2).map(router => nameAction(`crash ${router}`, simulation => {
	simulation.crash(simulation.routers[router]!);
}));
const changeMembers = fc.tuple(fc.nat(2), fc.subarray([0, 1, 2])).map(([router, members]) => nameAction(`members of ${router}: ${members.join(',')}`, simulation => {
	simulation.setMembers(simulation.routers[router]!, members);
}));
const advance = fc.constantFrom(1, 10, 70, 700).map(ms => nameAction(`advance ${ms}`, simulation => {
	simulation.advance(ms);
}));

const actions = fc.array(fc.oneof(
	{weight: 4, arbitrary: begin},
	{weight: 5, arbitrary: deliver},
	{weight: 1, arbitrary: drop},
	{weight: 6, arbitrary: successfulCall},
	{weight: 3, arbitrary: faultyCall},
	{weight: 1, arbitrary: applyDelayedSwap},
	{weight: 4, arbitrary: send},
	{weight: 3, arbitrary: settle},
	{weight: 1, arbitrary: crash},
	{weight: 1, arbitrary: changeMembers},
	{weight: 3, arbitrary: advance},
), {minLength: 10, maxLength: 120, size: 'max'});

/** Settles every open request, then retries every key at every router. */
function settleAndRetryAllKeys(simulation: ledgerSimulation.LedgerSimulation): void {
	simulation.runUntilIdle();
	for (const request of simulation.requests) {
		const hasRestarted = request.incarnation !== request.router.incarnation;
		expect(hasRestarted || request.verdict !== undefined, `attempt ${request.intent.attempt} has no verdict`).to.equal(true);
		simulation.send(request);
		simulation.settle(request, attemptResult.ResponseComplete);
		simulation.settle(request, attemptResult.NeverSent);
	}

	simulation.runUntilIdle();
	for (const key of keys) {
		for (const router of simulation.routers) {
			simulation.begin(router, key, 'd0');
			simulation.runUntilIdle();
			const retry = simulation.requests.at(-1)!;
			expect(retry.verdict, 'verdict on a retried key').to.not.be.oneOf([undefined, verdictType.InProgress, verdictType.Unavailable, verdictType.Full]);
			simulation.send(retry);
			simulation.settle(retry, attemptResult.ResponseComplete);
			simulation.runUntilIdle();
		}
	}

	for (const router of simulation.routers) {
		expect(core.ledger.isLedgerIdle(router.node)).to.equal(true);
	}
}

describe('ledger with generated interleavings of events and faults', () => {
	it('executes each key at most once, refuses a request only for the reason that it reports and replays the recorded response', () => {
		let steps = 0;
		fc.assert(fc.property(actions, list => {
			const simulation = new ledgerSimulation.LedgerSimulation(3);
			for (const action of list) {
				action(simulation);
			}

			settleAndRetryAllKeys(simulation);
			steps += simulation.steps;
		}), {seed: 4, numRuns: 400});
		expect(steps).to.be.above(10_000);
	}).timeout(60_000);
});
