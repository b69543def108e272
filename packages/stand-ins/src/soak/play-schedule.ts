import * as util from '../util/index.js';

/** An action with its time in milliseconds since the start of the schedule. */
export type TimedAction = {
	readonly atMs: number;
};

/** Plays actions at their times; an action waits until earlier actions on the same targets have ended. */
export async function playSchedule<Action extends TimedAction>(
	actions: readonly Action[],
	listTargets: (action: Action) => readonly string[],
	play: (action: Action) => Promise<void>,
): Promise<void> {
	const lastByTarget = new Map<string, Promise<void>>();
	const playing = actions.map(async action => {
		await util.sleep(action.atMs);
		const targets = listTargets(action);
		const current = playAfter(targets.map(async target => lastByTarget.get(target)), async () => play(action));
		for (const target of targets) {
			lastByTarget.set(target, current);
		}

		await current;
	});
	await Promise.all(playing);
}

async function playAfter(earlier: ReadonlyArray<Promise<void>>, play: () => Promise<void>): Promise<void> {
	await Promise.all(earlier);
	await play();
}
