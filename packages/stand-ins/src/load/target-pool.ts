import * as undici from 'undici';

const checkIntervalMs = 250;
const checkTimeoutMs = 1000;

/** Chooses routers round-robin and skips those whose readiness check fails, as a load balancer does. */
export class TargetPool {
	readonly #readyTargets: Set<string>;
	#next = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(private readonly targets: readonly string[], private readonly agent: undici.Dispatcher) {
		this.#readyTargets = new Set(targets);
	}

	/** Starts periodic readiness checks. */
	start(): void {
		this.#timer = setInterval(() => {
			for (const target of this.targets) {
				void this.#check(target);
			}
		}, checkIntervalMs);
	}

	/** Stops the readiness checks. */
	stop(): void {
		clearInterval(this.#timer);
	}

	/** Returns the next ready router, or the next router when none is ready. */
	next(): string {
		const rotated = [...this.targets.slice(this.#next), ...this.targets.slice(0, this.#next)];
		const target = rotated.find(candidate => this.#readyTargets.has(candidate)) ?? rotated[0]!;
		this.#next = (this.targets.indexOf(target) + 1) % this.targets.length;
		return target;
	}

	async #check(target: string): Promise<void> {
		try {
			const res = await undici.request(`${target}/readyz`, {
				dispatcher: this.agent, signal: AbortSignal.timeout(checkTimeoutMs),
			});
			await res.body.dump();
			this.#setReady(target, res.statusCode === 200);
		} catch {
			this.#setReady(target, false);
		}
	}

	#setReady(target: string, isReady: boolean): void {
		if (isReady) {
			this.#readyTargets.add(target);
		} else {
			this.#readyTargets.delete(target);
		}
	}
}
