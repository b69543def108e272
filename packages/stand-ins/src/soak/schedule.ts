import * as util from '../util/index.js';

/** What is done to the running system. */
export enum DisturbanceType {
	KillEngine = 'kill_engine',
	FreezeEngine = 'freeze_engine',
	SilenceEngine = 'silence_engine',
	RefuseEngine = 'refuse_engine',
	DropCacheEvents = 'drop_cache_events',
	/** The engine says that it is going away. */
	LeaveEngine = 'leave_engine',
	KillRunner = 'kill_runner',
	FreezeRunner = 'freeze_runner',
	SilenceRunner = 'silence_runner',
	LoseRunnerAnswers = 'lose_runner_answers',
	/** The runner says that it is going away. */
	LeaveRunner = 'leave_runner',
	KvOutage = 'kv_outage',
	KvSlow = 'kv_slow',
	KvLoseAnswers = 'kv_lose_answers',
	/** Writes take effect after their callers have given up on the answer. */
	KvLateWrites = 'kv_late_writes',
	SilenceKv = 'silence_kv',
	KillRouter = 'kill_router',
	PauseRouter = 'pause_router',
	StopRouter = 'stop_router',
	/** Kills half of the routers at once. */
	KillHerd = 'kill_herd',
}

/** One planned disturbance. */
export type Disturbance = {
	/** Milliseconds since the start of the load. */
	readonly atMs: number;
	readonly type: DisturbanceType;
	/** Index of the engine, runner or router; for a herd, of its first router. */
	readonly target: number;
	/** Milliseconds until it ends: until a killed process is started again, or a fault is cleared. */
	readonly durationMs: number;
};

/** Options of a schedule. */
export type ScheduleOptions = {
	readonly seed: number;
	readonly durationMs: number;
	readonly routers: number;
	readonly engines: number;
	readonly runners: number;
};

/** What a disturbance acts on; two never overlap on the same thing. */
export enum Subject {
	Engine = 'engine',
	Runner = 'runner',
	Router = 'router',
	Kv = 'kv',
}

const meanIntervalMs = 2500;
const shortestMs = 500;
const longestMs = 6000;
const longestKvMs = 20_000;
/** Time at the start and at the end of the load without disturbances. */
const quietMs = 4000;

/** What each type acts on. */
export const subjectByType: Readonly<Record<DisturbanceType, Subject>> = {
	[DisturbanceType.KillEngine]: Subject.Engine,
	[DisturbanceType.FreezeEngine]: Subject.Engine,
	[DisturbanceType.SilenceEngine]: Subject.Engine,
	[DisturbanceType.RefuseEngine]: Subject.Engine,
	[DisturbanceType.DropCacheEvents]: Subject.Engine,
	[DisturbanceType.LeaveEngine]: Subject.Engine,
	[DisturbanceType.KillRunner]: Subject.Runner,
	[DisturbanceType.FreezeRunner]: Subject.Runner,
	[DisturbanceType.SilenceRunner]: Subject.Runner,
	[DisturbanceType.LoseRunnerAnswers]: Subject.Runner,
	[DisturbanceType.LeaveRunner]: Subject.Runner,
	[DisturbanceType.KvOutage]: Subject.Kv,
	[DisturbanceType.KvSlow]: Subject.Kv,
	[DisturbanceType.KvLoseAnswers]: Subject.Kv,
	[DisturbanceType.KvLateWrites]: Subject.Kv,
	[DisturbanceType.SilenceKv]: Subject.Kv,
	[DisturbanceType.KillRouter]: Subject.Router,
	[DisturbanceType.PauseRouter]: Subject.Router,
	[DisturbanceType.StopRouter]: Subject.Router,
	[DisturbanceType.KillHerd]: Subject.Router,
};

/** Returns the disturbances of a run, a pure function of its options. */
export function createSchedule(options: ScheduleOptions): Disturbance[] {
	const random = new util.Random(options.seed);
	const busyUntil = new Map<string, number>();
	const schedule: Disturbance[] = [];
	let atMs = quietMs + random.exponential(meanIntervalMs);
	while (atMs < options.durationMs - quietMs) {
		const disturbance = draw(random, Math.round(atMs), options);
		const names = subjectsOf(disturbance, options.routers);
		if (names.every(name => (busyUntil.get(name) ?? 0) < disturbance.atMs)) {
			schedule.push(disturbance);
			for (const name of names) {
				busyUntil.set(name, disturbance.atMs + disturbance.durationMs);
			}
		}

		atMs += random.exponential(meanIntervalMs);
	}

	return schedule;
}

/** Returns the routers that a disturbance acts on, as indices. */
export function routersOf(disturbance: Disturbance, routers: number): number[] {
	const count = disturbance.type === DisturbanceType.KillHerd ? Math.floor(routers / 2) : 1;
	return Array.from({length: count}, (_, index) => (disturbance.target + index) % routers);
}

function draw(random: util.Random, atMs: number, options: ScheduleOptions): Disturbance {
	const type = random.pick(Object.values(DisturbanceType));
	const counts = {
		[Subject.Engine]: options.engines, [Subject.Runner]: options.runners, [Subject.Router]: options.routers, [Subject.Kv]: 1,
	};
	const target = random.integer(0, counts[subjectByType[type]] - 1);
	const left = options.durationMs - quietMs - atMs;
	const longest = subjectByType[type] === Subject.Kv ? longestKvMs : longestMs;
	const durationMs = Math.min(random.integer(shortestMs, longest), Math.round(left));
	return {
		atMs, type, target, durationMs,
	};
}

/** Returns the names of all things that a disturbance acts on. */
export function subjectsOf(disturbance: Disturbance, routers: number): string[] {
	const subject = subjectByType[disturbance.type];
	const targets = subject === Subject.Router ? routersOf(disturbance, routers) : [disturbance.target];
	return targets.map(target => `${subject} ${target}`);
}
