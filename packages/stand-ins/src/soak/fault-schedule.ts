import * as util from '../util/index.js';

/** Type of a fault that is injected into the running system. */
export enum ScheduledFaultType {
	KillEngine = 'kill_engine',
	/** The engine executes and answers nothing; connections stay open and new ones are accepted. */
	FreezeEngine = 'freeze_engine',
	/** All traffic on the engine's open connections stops without closing them; new connections work. */
	SilenceEngine = 'silence_engine',
	/** The engine refuses new connections; open ones keep working. */
	RefuseEngine = 'refuse_engine',
	DropCacheEvents = 'drop_cache_events',
	/** The engine reports that it is leaving. */
	LeaveEngine = 'leave_engine',
	KillRunner = 'kill_runner',
	/** As `FreezeEngine`, for a runner. */
	FreezeRunner = 'freeze_runner',
	/** As `SilenceEngine`, for a runner. */
	SilenceRunner = 'silence_runner',
	LoseRunnerResponses = 'lose_runner_answers',
	/** The runner reports that it is leaving. */
	LeaveRunner = 'leave_runner',
	KvOutage = 'kv_outage',
	KvSlow = 'kv_slow',
	KvLoseResponses = 'kv_lose_answers',
	/** Writes take effect after their callers' timeout. */
	KvLateWrites = 'kv_late_writes',
	/** As `SilenceEngine`, for the key-value service. */
	SilenceKv = 'silence_kv',
	KillRouter = 'kill_router',
	PauseRouter = 'pause_router',
	/** Graceful shutdown of a router. */
	StopRouter = 'stop_router',
	/** Kills half of the routers at the same time. */
	KillHalfOfRouters = 'kill_herd',
}

/** A fault with its time, target and duration. */
export type ScheduledFault = {
	/** Milliseconds since the start of the load. */
	readonly atMs: number;
	readonly type: ScheduledFaultType;
	/** Index of the engine, runner or router; for `KillHalfOfRouters`, of the first of them. */
	readonly targetIndex: number;
	/** Milliseconds until a killed process is restarted or the fault is cleared. */
	readonly durationMs: number;
};

/** Options of a fault schedule. */
export type FaultScheduleOptions = {
	readonly seed: number;
	readonly durationMs: number;
	readonly routers: number;
	readonly engines: number;
	readonly runners: number;
};

/** Kind of component that a fault acts on; two faults never overlap on the same component. */
export enum TargetKind {
	Engine = 'engine',
	/** An endpoint of a plain service. */
	Runner = 'runner',
	Router = 'router',
	Kv = 'kv',
}

/** Mean time between randomly drawn faults, in milliseconds. A fault is skipped if an earlier one still acts on its target. */
const meanIntervalMs = 2500;
const minDurationMs = 500;
const maxDurationMs = 6000;
const maxKvDurationMs = 20_000;
/** Milliseconds without faults at the start and at the end of the load. */
const faultFreeMs = 4000;

/** Kind of component that each type of fault acts on. */
export const targetKindByType: Readonly<Record<ScheduledFaultType, TargetKind>> = {
	[ScheduledFaultType.KillEngine]: TargetKind.Engine,
	[ScheduledFaultType.FreezeEngine]: TargetKind.Engine,
	[ScheduledFaultType.SilenceEngine]: TargetKind.Engine,
	[ScheduledFaultType.RefuseEngine]: TargetKind.Engine,
	[ScheduledFaultType.DropCacheEvents]: TargetKind.Engine,
	[ScheduledFaultType.LeaveEngine]: TargetKind.Engine,
	[ScheduledFaultType.KillRunner]: TargetKind.Runner,
	[ScheduledFaultType.FreezeRunner]: TargetKind.Runner,
	[ScheduledFaultType.SilenceRunner]: TargetKind.Runner,
	[ScheduledFaultType.LoseRunnerResponses]: TargetKind.Runner,
	[ScheduledFaultType.LeaveRunner]: TargetKind.Runner,
	[ScheduledFaultType.KvOutage]: TargetKind.Kv,
	[ScheduledFaultType.KvSlow]: TargetKind.Kv,
	[ScheduledFaultType.KvLoseResponses]: TargetKind.Kv,
	[ScheduledFaultType.KvLateWrites]: TargetKind.Kv,
	[ScheduledFaultType.SilenceKv]: TargetKind.Kv,
	[ScheduledFaultType.KillRouter]: TargetKind.Router,
	[ScheduledFaultType.PauseRouter]: TargetKind.Router,
	[ScheduledFaultType.StopRouter]: TargetKind.Router,
	[ScheduledFaultType.KillHalfOfRouters]: TargetKind.Router,
};

/** Creates the schedule of a run in order of time; a pure function of its options. */
export function createFaultSchedule(options: FaultScheduleOptions): ScheduledFault[] {
	const random = new util.Random(options.seed);
	const busyUntil = new Map<string, number>();
	const schedule: ScheduledFault[] = [];
	let atMs = faultFreeMs + random.exponential(meanIntervalMs);
	while (atMs < options.durationMs - faultFreeMs) {
		const scheduledFault = drawScheduledFault(random, Math.round(atMs), options);
		const names = listTargetNames(scheduledFault, options.routers);
		if (names.every(name => (busyUntil.get(name) ?? 0) < scheduledFault.atMs)) {
			schedule.push(scheduledFault);
			for (const name of names) {
				busyUntil.set(name, scheduledFault.atMs + scheduledFault.durationMs);
			}
		}

		atMs += random.exponential(meanIntervalMs);
	}

	return schedule;
}

/** Returns the indices of the routers that a fault acts on. */
export function listRouterIndices(scheduledFault: ScheduledFault, routers: number): number[] {
	const count = scheduledFault.type === ScheduledFaultType.KillHalfOfRouters ? Math.floor(routers / 2) : 1;
	return Array.from({length: count}, (_, index) => (scheduledFault.targetIndex + index) % routers);
}

function drawScheduledFault(random: util.Random, atMs: number, options: FaultScheduleOptions): ScheduledFault {
	const type = random.pick(Object.values(ScheduledFaultType));
	const counts = {
		[TargetKind.Engine]: options.engines, [TargetKind.Runner]: options.runners, [TargetKind.Router]: options.routers, [TargetKind.Kv]: 1,
	};
	const targetIndex = random.integer(0, counts[targetKindByType[type]] - 1);
	const remainingMs = options.durationMs - faultFreeMs - atMs;
	const maxMs = targetKindByType[type] === TargetKind.Kv ? maxKvDurationMs : maxDurationMs;
	const durationMs = Math.min(random.integer(minDurationMs, maxMs), Math.round(remainingMs));
	return {
		atMs, type, targetIndex, durationMs,
	};
}

/** Returns the names of all components that a fault acts on, such as `router 2`. */
export function listTargetNames(scheduledFault: ScheduledFault, routers: number): string[] {
	const kind = targetKindByType[scheduledFault.type];
	const indices = kind === TargetKind.Router ? listRouterIndices(scheduledFault, routers) : [scheduledFault.targetIndex];
	return indices.map(target => `${kind} ${target}`);
}
