import type * as check from '../../check/index.js';
import * as util from '../../util/index.js';
import * as platformAction from './platform-action.js';
import type * as serverFleet from './server-fleet.js';

/** Lets servers fall silent and go on; returns when all go on. Each silence is added to the list as it begins. */
export async function playSilences(
	action: platformAction.PlannedAction,
	sizes: platformAction.PlatformSizes,
	fleet: serverFleet.ServerFleet,
	silences: check.platform.Silence[],
): Promise<void> {
	const servers = platformAction.listSilentServers(action, sizes).map(index => fleet.servers[index]!);
	const groups = action.type === platformAction.ActionType.SilenceInTurn ? servers.map(server => [server]) : [servers];
	for (const group of groups) {
		const from = Date.now();
		for (const {id, standIn} of group) {
			standIn.fallSilent(action.durationMs);
			silences.push({server: id, from, to: from + action.durationMs});
		}

		await util.sleep(action.durationMs); // eslint-disable-line no-await-in-loop -- In turn.
	}

	await util.sleep(platformAction.silencePauseMs);
}
