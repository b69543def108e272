import type * as check from '../../check/index.js';
import * as util from '../../util/index.js';
import type * as gatewayProcess from './gateway-process.js';
import * as platformAction from './platform-action.js';

type Mutable<Value> = {-readonly [Key in keyof Value]: Value[Key]};

/** Stops and continues those of the gateways that run, several times in series; each block is added to the list as it begins. */
export async function playBlocks(
	action: platformAction.PlannedAction,
	sizes: platformAction.PlatformSizes,
	gateways: readonly gatewayProcess.GatewayProcess[],
	blocks: check.platform.Block[],
): Promise<void> {
	const blocked = platformAction.listBlockedGateways(action, sizes).map(index => gateways[index]!);
	for (let count = 0; count < action.amount; count++) {
		const running = blocked.filter(({isRunning}) => isRunning);
		const current: Array<Mutable<check.platform.Block>> = running.map(({name}) => ({gateway: name, from: Date.now(), to: Infinity}));
		blocks.push(...current);
		for (const gateway of running) {
			gateway.signal('pause');
		}

		await util.sleep(action.durationMs); // eslint-disable-line no-await-in-loop -- In series.
		for (const [index, gateway] of running.entries()) {
			current[index]!.to = Date.now();
			gateway.signal('resume');
		}

		await util.sleep(platformAction.blockPauseMs); // eslint-disable-line no-await-in-loop -- In series.
	}
}
