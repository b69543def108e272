import * as util from '../../util/index.js';
import type * as platformClients from './platform-clients.js';
import * as platformAction from './platform-action.js';
import * as platformConfig from './platform-config.js';
import * as platformOperator from './platform-operator.js';

const {ActionType: types} = platformAction;
const {ConfigChange: changes} = platformOperator;
const burstFactor = 6;
const maxBurstMs = 1500;
const changeIntervalMs = 150;
const allChanges = Object.values(changes);

/** Plays a change by the operator, or a burst of requests. */
export async function playChange(
	action: platformAction.PlannedAction,
	operator: platformOperator.PlatformOperator,
	clients: platformClients.PlatformClients,
): Promise<void> {
	const {type, amount, targetIndex, durationMs} = action;
	const configChanges: Partial<Record<platformAction.ActionType, readonly platformOperator.ConfigChange[]>> = {
		[types.RevokeKey]: [changes.RevokeKey],
		[types.RevokeKeys]: repeat(changes.RevokeKey, amount),
		[types.ConfigStorm]: repeat(changes.Routes, amount),
		[types.ChangeTimeouts]: [changes.Timeouts],
		[types.ChangeIdleTimeout]: [changes.IdleTimeout],
		[types.MixedStorm]: Array.from({length: 2 * amount}, (_, count) => allChanges[(targetIndex + count) % allChanges.length]!),
	};
	if (type === types.Burst) {
		clients.rateFactor = burstFactor;
		await util.sleep(Math.min(durationMs, maxBurstMs));
		clients.rateFactor = 1;
		return;
	}

	if (type === types.NameVersion) {
		operator.nameVersion(modelOf(amount));
		return;
	}

	if (type === types.NameVersions) {
		await nameVersions(action, operator);
		return;
	}

	for (const change of configChanges[type]!) {
		operator.changeConfig(change);
		await util.sleep(changeIntervalMs); // eslint-disable-line no-await-in-loop -- Changes in series.
	}
}

/** Names several versions of the models in turn. */
export async function nameVersions({amount, targetIndex}: platformAction.PlannedAction, operator: platformOperator.PlatformOperator): Promise<void> {
	for (let count = 0; count < amount; count++) {
		operator.nameVersion(modelOf(targetIndex + count));
		await util.sleep(changeIntervalMs); // eslint-disable-line no-await-in-loop -- Changes in series.
	}
}

function repeat(change: platformOperator.ConfigChange, length: number): platformOperator.ConfigChange[] {
	return Array.from({length}, () => change);
}

function modelOf(number: number): string {
	return platformConfig.models[number % platformConfig.models.length]!;
}
