import * as fs from 'node:fs';
import type * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import * as purify from 'purify-ts';
import * as memoryKv from '../../../router/tests/controllers/fakes/memory-kv.js';
import type * as ctl from '@bluebellmast/ctl';

/** Client that returns what the test sets; without a status it returns the error of a router that does not respond. */
export class FakeRouter implements ctl.routers.RouterClient {
	currentStatus: wire.http.RouterStatus | undefined;
	events: readonly core.timeline.TimelineEvent[] = [];

	constructor(readonly url: string, generation: number, confirmed = true) {
		this.currentStatus = {
			vm: `vm-of-${url}`,
			incarnation: 'i-1',
			dataCentre: 'dc-1',
			ready: true,
			stopping: false,
			generation,
			confirmed,
			requestsUnderWay: 0,
			members: [],
			endpoints: [{id: 'engine-1', service: 'pool'}],
			counters: {},
		};
	}

	async status(): ctl.routers.RouterResult<wire.http.RouterStatus> {
		return this.currentStatus === undefined ? purify.Left('timed out') : purify.Right(this.currentStatus);
	}

	async timeline(): ctl.routers.RouterResult<readonly core.timeline.TimelineEvent[]> {
		return this.currentStatus === undefined ? purify.Left('timed out') : purify.Right(this.events);
	}
}

class ClosableKv extends memoryKv.MemoryKvClient {
	async close(): Promise<void> {} // eslint-disable-line @typescript-eslint/no-empty-function
}

/** In-memory context of commands; time advances only by `sleep`. */
export class FakeContext implements ctl.cli.CommandContext {
	readonly printed: string[] = [];
	readonly warned: string[] = [];
	readonly files = new Map<string, string>();
	readonly routers = new Map<string, FakeRouter>();
	readonly store = new memoryKv.MemoryKv();
	readonly kv = new ClosableKv(this.store);
	#now = 0;
	#ids = 0;

	readonly print = (line: string) => {
		this.printed.push(line);
	};

	readonly warn = (line: string) => {
		this.warned.push(line);
	};

	readonly readFile = (file: string) => this.files.get(file) ?? fs.readFileSync(file, 'utf8');
	readonly writeFile = (file: string, text: string) => {
		this.files.set(file, text);
	};

	readonly createKv = () => this.kv;
	readonly createRouterClient = (url: string) => this.routers.get(url)!;
	readonly now = () => this.#now;
	readonly sleep = async (durationMs: number) => {
		this.#now += durationMs;
	};

	get operator(): string {
		return 'alice';
	}

	readonly createId = () => {
		this.#ids += 1;
		return String(this.#ids);
	};

	/** Adds or replaces the router with a URL. */
	addRouter(url: string, generation: number, confirmed?: boolean): FakeRouter {
		const router = new FakeRouter(url, generation, confirmed);
		this.routers.set(url, router);
		return router;
	}
}
