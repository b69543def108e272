import * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';

type PlanJson = {
	readonly fence: number;
	readonly writer?: string;
	readonly round?: number;
	readonly named?: ReadonlyArray<readonly [string, number, number, number?]>;
	readonly steps: ReadonlyArray<readonly [string, number, string, number, core.rollout.RolloutPhase]>;
};

/** Encodes a roll-out plan as the value of the plan's key. */
export function encodePlan(plan: core.rollout.RolloutPlan): Uint8Array {
	const json: PlanJson = {
		fence: plan.fence,
		writer: plan.writer,
		round: plan.round,
		named: plan.named.map(({model, version, seenAt, ageMs}) => ageMs === undefined ? [model, version, seenAt] : [model, version, seenAt, ageMs]),
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
			named: (json.named ?? []).map(([model, version, seenAt, ageMs]) => ({
				model, version, seenAt, ...(typeof ageMs === 'number' && {ageMs}),
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
