import * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';

/** Encoded version: model, version, time at which it was seen in Unix milliseconds, age in milliseconds, whether it has a key. */
type NamedRow = readonly [string, number, number, number?, boolean?];

type PlanJson = {
	readonly fence: number;
	readonly writer?: string;
	readonly round?: number;
	readonly named?: readonly NamedRow[];
	readonly steps: ReadonlyArray<readonly [string, number, string, number, core.rollout.RolloutPhase]>;
};

/** Encodes a roll-out plan as the value of the plan's key. */
export function encodePlan(plan: core.rollout.RolloutPlan): Uint8Array {
	const json: PlanJson = {
		fence: plan.fence,
		writer: plan.writer,
		round: plan.round,
		named: plan.named.map(item => encodeNamed(item)),
		steps: plan.steps.map(step => [step.endpoint, step.bornAt, step.model, step.version, step.phase]),
	};
	return buffer.Buffer.from(JSON.stringify(json));
}

/** Decodes a roll-out plan; returns the empty plan for anything else, since only VMs of the gateway write it. */
export function decodePlan(value: Uint8Array): core.rollout.RolloutPlan {
	try {
		const json = JSON.parse(buffer.Buffer.from(value).toString()) as PlanJson;
		return {
			fence: json.fence,
			writer: json.writer,
			round: json.round ?? 0,
			named: (json.named ?? []).map(([model, version, seenAt, ageMs, hasRecentKey]) => ({
				model, version, seenAt, ...(typeof ageMs === 'number' && {ageMs}), ...(hasRecentKey === true && {hasRecentKey}),
			})),
			steps: json.steps.map(([endpoint, bornAt, model, version, phase]) => ({
				endpoint, bornAt, model, version, phase,
			})),
		};
	} catch {
		// Written by another version of the gateway in an unknown format; the roll-out starts over.
		return core.rollout.emptyRolloutPlan;
	}
}

function encodeNamed({model, version, seenAt, ageMs, hasRecentKey}: core.rollout.NamedVersion): NamedRow {
	if (ageMs === undefined) {
		return [model, version, seenAt];
	}

	return hasRecentKey ? [model, version, seenAt, ageMs, true] : [model, version, seenAt, ageMs];
}
