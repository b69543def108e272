import type * as check from '../../check/index.js';
import * as util from '../../util/index.js';
import type * as gatewayProcess from './gateway-process.js';

/** One signal of a series. */
export enum SeriesStep {
	/** SIGHUP, with changed settings in the file. */
	Reload = 'reload',
	/** SIGHUP, with settings in the file that are not valid. */
	ReloadBroken = 'reload_broken',
	Terminate = 'terminate',
	Kill = 'kill',
	/** A new process after the end of the former one, until it is ready. */
	Start = 'start',
	/** A new process after the end of the former one, and no wait. */
	StartOnly = 'start_only',
}

const steps = SeriesStep;
/** The series that an action may play; at their end the process runs, with the former settings. */
const series: ReadonlyArray<readonly SeriesStep[]> = [
	[steps.Reload, steps.Terminate, steps.Reload, steps.Start, steps.Reload, steps.ReloadBroken],
	[steps.Terminate, steps.Terminate, steps.Reload, steps.Terminate, steps.Start],
	[steps.Terminate, steps.Kill, steps.Start],
	[steps.ReloadBroken, steps.Reload, steps.Reload, steps.Terminate, steps.Start, steps.Terminate, steps.Start],
	[steps.Terminate, steps.StartOnly, steps.Terminate, steps.Start],
	[steps.Kill, steps.StartOnly, steps.Kill, steps.Start, steps.Terminate, steps.Start],
];
const changedSettings = 'region=region-b\n';
const brokenSettings = 'bounds.grace_s=soon\nnode_name\n';
const maxStepMs = 400;
const pollMs = 50;
const maxReadyMs = 20_000;

/** Where a series records what it does. */
export type SeriesRecord = {
	readonly plannedStops: check.platform.PlannedStop[];
	readonly reloads: check.platform.Reload[];
	/** Called just before a signal that may interrupt requests. */
	readonly onKill: () => void;
};

/** Plays a series of signals on a gateway, a fixed time after one another; `number` selects it. */
export async function playSeries(
	gateway: gatewayProcess.GatewayProcess,
	{number, stepMs, graceMs}: {readonly number: number; readonly stepMs: number; readonly graceMs: number},
	record: SeriesRecord,
): Promise<void> {
	for (const step of series[number % series.length]!) {
		await playStep(gateway, step, graceMs, record); // eslint-disable-line no-await-in-loop -- In turn.
		await util.sleep(Math.min(stepMs, maxStepMs)); // eslint-disable-line no-await-in-loop -- In turn.
	}

	reload(gateway, '', record);
}

/** Sends SIGTERM to a gateway and records it. */
export function terminate(gateway: gatewayProcess.GatewayProcess, plannedStops: check.platform.PlannedStop[]): void {
	plannedStops.push({gateway: gateway.name, at: Date.now()});
	gateway.signal('terminate');
}

async function playStep(gateway: gatewayProcess.GatewayProcess, step: SeriesStep, graceMs: number, record: SeriesRecord): Promise<void> {
	switch (step) {
		case steps.Reload:
		case steps.ReloadBroken: {
			reload(gateway, step === steps.Reload ? changedSettings : brokenSettings, record);
			break;
		}

		case steps.Terminate: {
			terminate(gateway, record.plannedStops);
			break;
		}

		case steps.Kill: {
			record.onKill();
			gateway.signal('kill');
			break;
		}

		case steps.Start:
		case steps.StartOnly: {
			const killTimer = setTimeout(() => {
				gateway.signal('kill');
			}, graceMs);
			await gateway.waitForExit();
			clearTimeout(killTimer);
			gateway.writeSettings('');
			gateway.start();
			if (step === steps.Start) {
				await waitUntilReady(gateway);
			}
		}
	}
}

function reload(gateway: gatewayProcess.GatewayProcess, furtherLines: string, {reloads}: SeriesRecord): void {
	gateway.writeSettings(furtherLines);
	reloads.push({gateway: gateway.name, at: Date.now()});
	gateway.signal('reload');
}

/** Waits until a new process is ready, or has not been for so long that another check reports it. */
async function waitUntilReady(gateway: gatewayProcess.GatewayProcess): Promise<void> {
	const endsAt = Date.now() + maxReadyMs;
	while (gateway.lives.at(-1)!.readyAt === undefined && Date.now() < endsAt) {
		await util.sleep(pollMs); // eslint-disable-line no-await-in-loop -- A poll.
	}
}
