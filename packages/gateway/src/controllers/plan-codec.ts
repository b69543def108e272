import * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';

type PlanJson = {
	readonly fence: number;
	readonly round?: number;
	readonly named?: ReadonlyArray<readonly [string, number, number]>;
	readonly steps: ReadonlyArray<readonly [string, number, string, number, core.rollout.RolloutPhase]>;
};

/** Encodes a plan as the value of its key. */
export function encodePlan(plan: core.rollout.RolloutPlan): Uint8Array {
	const json: PlanJson = {
		fence: plan.fence,
		round: plan.round,
		named: plan.named.map(item => [item.model, item.version, item.seenAt]),
		steps: plan.steps.map(step => [step.endpoint, step.bornAt, step.model, step.version, step.phase]),
	};
	return buffer.Buffer.from(JSON.stringify(json));
}

/** Decodes a plan; only VMs of the gateway write it, so anything else counts as no plan. */
export function decodePlan(value: Uint8Array): core.rollout.RolloutPlan {
	try {
		const json = JSON.parse(buffer.Buffer.from(value).toString()) as PlanJson;
		return {
			fence: json.fence,
			round: json.round ?? 0,
			named: (json.named ?? []).map(([model, version, seenAt]) => ({model, version, seenAt})),
			steps: json.steps.map(([endpoint, bornAt, model, version, phase]) => ({
				endpoint, bornAt, model, version, phase,
			})),
		};
	} catch {
		// Written by a version of this program that this one does not know: the roll-out starts anew.
		return core.rollout.emptyRolloutPlan;
	}
}
