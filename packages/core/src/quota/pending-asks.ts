import type * as quotaAgentOptions from './quota-agent-options.js';
import type * as quotaMessage from './quota-message.js';

/** An ask, until some time after its decision. */
export type PendingAsk = quotaMessage.QuotaAsk & {
	readonly partition: number;
	readonly askedAt: number;
	/** VM that is asked. */
	sentTo: string;
	sentAt: number;
	isDecided: boolean;
};

/** Time for which decided asks are kept, so that a second grant is given back, in milliseconds. */
const decidedLifetimeMs = 3000;

/** The asks of one VM. */
export class PendingAsks {
	readonly #asks = new Map<number, PendingAsk>();
	#lastId = 0;

	constructor(private readonly times: Pick<quotaAgentOptions.QuotaTimes, 'askTimeoutMs' | 'resendMs'>) {}

	/** Creates an ask of a VM. */
	create(request: Pick<PendingAsk, 'account' | 'units' | 'partition'>, sentTo: string, now: number): PendingAsk {
		this.#lastId += 1;
		const ask: PendingAsk = {
			...request, id: this.#lastId, askedAt: now, sentTo, sentAt: now, isDecided: false,
		};
		this.#asks.set(ask.id, ask);
		return ask;
	}

	get(id: number): PendingAsk | undefined {
		return this.#asks.get(id);
	}

	/** Lists the undecided asks of a VM. */
	listSentTo(vm: string): PendingAsk[] {
		return [...this.#asks.values()].filter(({isDecided, sentTo}) => !isDecided && sentTo === vm);
	}

	/** Lists the undecided asks whose time is over, and the others that have had no reply for too long. */
	listDue(now: number): {readonly expired: readonly PendingAsk[]; readonly unanswered: readonly PendingAsk[]} {
		const undecided = [...this.#asks.values()].filter(({isDecided}) => !isDecided);
		const isExpired = ({askedAt}: PendingAsk): boolean => now - askedAt >= this.times.askTimeoutMs;
		return {
			expired: undecided.filter(ask => isExpired(ask)),
			unanswered: undecided.filter(ask => !isExpired(ask) && now - ask.sentAt >= this.times.resendMs),
		};
	}

	/** Forgets asks that were decided long ago. */
	removeDecided(now: number): void {
		for (const [id, {isDecided, askedAt}] of this.#asks) {
			if (isDecided && now - askedAt >= decidedLifetimeMs) {
				this.#asks.delete(id);
			}
		}
	}
}
