import * as peerResponses from './peer-responses.js';
import * as pendingAsks from './pending-asks.js';
import * as quotaAgentOptions from './quota-agent-options.js';
import * as quotaBuckets from './quota-buckets.js';
import * as quotaMembers from './quota-members.js';
import * as quotaMessage from './quota-message.js';
import * as quotaPartitions from './quota-partitions.js';
import * as shareLoans from './share-loans.js';

/** A message that is to be sent. */
export type OutgoingCall = {
	readonly to: string;
	readonly call: quotaMessage.QuotaCall;
};

/** A reply that is sent without a call. */
export type OutgoingReply = {
	readonly to: string;
	readonly reply: quotaMessage.QuotaReply;
};

/** An ask that has been decided. */
export type DecidedAsk = {
	readonly id: number;
	readonly decision: quotaMessage.QuotaDecision;
	/** VM that decided. */
	readonly keeper: string;
	/** When it was asked first. */
	readonly askedAt: number;
};

type Outgoing = {
	readonly asks: pendingAsks.PendingAsk[];
	readonly returned: quotaMessage.ReturnedUnits[];
};

/** Units that are given back in one call, so that it fits into one packet. */
const maxReturnedPerCall = 32;
/** Asks in one call, for the same reason. */
const maxAsksPerCall = 24;
/** Share below which a keeper's refusal is not final while the ask has time left: VMs are about to lend it more after the end of another keeper. */
const minDecidingShare = 0.25;
/** Time after the start of a shutdown in which the shares of the other VMs reach other keepers, in milliseconds. */
const handoverDelayMs = 25;
/** A loan is based on a clock reading that is younger than this part of its duration. */
const maxReadingAge = 0.5;

/**
 * Enforces the quotas of client accounts over all VMs, without a network: asks the keepers of accounts, lends them this VM's shares, and
 * keeps the accounts whose shares others lend to it. Times are in milliseconds of a clock that includes suspensions of the VM.
 */
export class QuotaAgent {
	readonly #times: quotaAgentOptions.QuotaTimes;
	readonly #buckets: quotaBuckets.QuotaBuckets;
	readonly #loans = new shareLoans.ShareLoans();
	readonly #peers = new peerResponses.PeerResponses();
	readonly #asks: pendingAsks.PendingAsks;
	readonly #members: quotaMembers.QuotaMembers;
	readonly #outgoing = new Map<string, Outgoing>();
	#accounts: readonly string[] = [];
	#activePartitions: readonly number[] = [];
	/** When the shutdown began; absent before. */
	#closingSince: number | undefined;

	constructor(private readonly options: quotaAgentOptions.QuotaAgentOptions) {
		this.#times = options.times ?? quotaAgentOptions.defaultQuotaTimes;
		this.#buckets = new quotaBuckets.QuotaBuckets(options.bounds, options.startedAt);
		this.#asks = new pendingAsks.PendingAsks(this.#times);
		this.#members = new quotaMembers.QuotaMembers(options, this.#times);
	}

	/** Whether messages wait to be sent. */
	get hasOutgoing(): boolean {
		return this.#outgoing.size > 0;
	}

	/** Sets the VMs that share the quotas, which include this one once the others count it. */
	setVms(vms: readonly string[], now: number): void {
		if (this.#members.set(vms, now)) {
			this.#peers.retain(this.#members.names);
			this.#updatePartitions();
		}
	}

	/** Sets the accounts with a quota. */
	setAccounts(accounts: readonly string[]): void {
		this.#accounts = accounts;
		this.#updatePartitions();
	}

	/** Asks for the units of one attempt. @returns The decision, or the id of an ask that is decided later. */
	ask(account: string, units: number, now: number): DecidedAsk | number {
		const partition = this.#getPartition(account);
		const keeper = this.#findTarget(partition, now);
		const ask = this.#asks.create({account, units, partition}, keeper, now);
		if (keeper === this.options.vm) {
			const decision = this.#decide(ask, now);
			if (!isPending(decision)) {
				return this.#settle(ask, decision, keeper);
			}
		} else {
			this.#getOutgoing(keeper).asks.push(ask);
		}

		return ask.id;
	}

	/** Gives units back that were granted and provably not used. */
	giveBack(account: string, units: number, now: number): void {
		const partition = this.#getPartition(account);
		const keeper = this.#findTarget(partition, now);
		if (keeper === this.options.vm) {
			this.#applyReturned({account, units}, now);
		} else {
			this.#getOutgoing(keeper).returned.push({account, units});
		}
	}

	/** Returns the messages that are to be sent now; each renews all loans to its recipient. */
	takeCalls(now: number): OutgoingCall[] {
		const calls: OutgoingCall[] = [];
		for (const [to, {asks, returned}] of this.#outgoing) {
			do {
				calls.push(this.#createCall(to, asks.splice(0, maxAsksPerCall), returned.splice(0, maxReturnedPerCall), now));
			} while (asks.length + returned.length > 0);
		}

		this.#outgoing.clear();
		return calls;
	}

	/** Handles a call of another VM. */
	receiveCall(call: quotaMessage.QuotaCall, now: number): quotaMessage.QuotaReply {
		const {incarnation} = this.options;
		if (this.#isClosing) {
			return this.#createReply([], now);
		}

		if (call.loan !== undefined && call.basedOn?.incarnation === incarnation && this.#members.names.has(call.vm)) {
			const {partitions, share, durationMs} = call.loan;
			for (const partition of partitions) {
				this.#buckets.setLoan(partition, call.vm, {share, until: call.basedOn.at + durationMs}, now);
			}
		}

		for (const returned of call.returned) {
			this.#applyReturned(returned, now);
		}

		return this.#createReply(call.asks.map(ask => ({id: ask.id, decision: this.#decide(ask, now)})), now);
	}

	/** Handles the reply of a keeper. @returns The asks that it decides. */
	receiveReply(reply: quotaMessage.QuotaReply, now: number): DecidedAsk[] {
		if (reply.takesLoans) {
			const isReleased = this.#peers.recordReply(reply.vm, reply.clock, now);
			if (isReleased) {
				this.options.onPeerChange?.(reply.vm, true);
			}

			// The first reply states the clock reading on which a loan can be based.
			if (this.#listPartitionsToLend(reply.vm, now).some(partition => this.#loans.getKeeper(partition, now) === undefined)) {
				this.#getOutgoing(reply.vm);
			}
		} else {
			this.#handleShutdown(reply.vm, now);
		}

		const decided: DecidedAsk[] = [];
		for (const {id, decision} of reply.decisions) {
			const ask = this.#asks.get(id);
			if (ask?.isDecided === true && decision.outcome === quotaMessage.QuotaOutcome.Granted) {
				this.giveBack(ask.account, ask.units, now);
			} else if (ask !== undefined && !ask.isDecided && !isPending(decision)) {
				decided.push(this.#settle(ask, decision, reply.vm));
			}
		}

		return decided;
	}

	/** Renews loans, sends calls again that had no reply, and gives up asks. @returns The asks that are decided. */
	tick(now: number): DecidedAsk[] {
		this.#lendShares(now);
		for (const vm of this.#peers.listProbed(this.#times.probeMs, now)) {
			this.#getOutgoing(vm);
		}

		if (this.#closingSince !== undefined && now - this.#closingSince >= handoverDelayMs) {
			this.#handOver(now);
		}

		this.#buckets.removeIdle(account => this.#getPartition(account), this.options.findQuota, now);
		return this.#updateAsks(now);
	}

	/** Returns the sum of the shares that this VM holds, over all partitions with accounts. */
	countHeldShares(now: number): number {
		let total = 0;
		for (const partition of this.#activePartitions) {
			total += this.#buckets.getHeldShare(partition, now);
		}

		return total;
	}

	/** Ends the loans of the other VMs, and accepts no more. @returns Notifications for them. */
	beginShutdown(now: number): OutgoingReply[] {
		const {vm} = this.options;
		this.#closingSince = now;
		const lenders = this.#buckets.endAllLoans(now);
		this.#loans.endLoans(vm);
		this.#lendShares(now);
		return [...lenders].filter(lender => lender !== vm).map(to => ({to, reply: this.#createReply([], now)}));
	}

	get #isClosing(): boolean {
		return this.#closingSince !== undefined;
	}

	#getPartition(account: string): number {
		return quotaPartitions.getPartition(account, this.#members.count);
	}

	#updatePartitions(): void {
		this.#activePartitions = [...new Set(this.#accounts.map(account => this.#getPartition(account)))];
	}

	/** Returns the first VM of a partition's order that responds; this VM if no other does. */
	#chooseKeeper(partition: number): string {
		const {vm} = this.options;
		return this.#members.listKeepers(partition).find(candidate => candidate === vm ? !this.#isClosing : this.#peers.isResponsive(candidate)) ?? vm;
	}

	/** Returns the VM that holds this VM's share, or the one that is to hold it. */
	#findTarget(partition: number, now: number): string {
		const holder = this.#loans.getKeeper(partition, now);
		const isUsable = holder !== undefined && (holder === this.options.vm || this.#peers.isResponsive(holder));
		return isUsable ? holder : this.#chooseKeeper(partition);
	}

	#getOutgoing(vm: string): Outgoing {
		const known = this.#outgoing.get(vm);
		if (known !== undefined) {
			return known;
		}

		const outgoing: Outgoing = {asks: [], returned: []};
		this.#outgoing.set(vm, outgoing);
		return outgoing;
	}

	/** Lends to itself what this VM keeps, and queues calls to the keepers whose loans are due. */
	#lendShares(now: number): void {
		const {vm} = this.options;
		const share = this.#members.computeShare(now);
		if (share === 0) {
			return;
		}

		for (const partition of this.#activePartitions) {
			const keeper = this.#chooseKeeper(partition);
			if (keeper === vm) {
				this.#lendToItself(partition, share, now);
			} else {
				this.#endOwnLoan(partition, now);
				const unansweredAt = this.#peers.getUnansweredAt(keeper);
				const lastAt = unansweredAt ?? this.#loans.getSentAt(partition, keeper);
				const intervalMs = unansweredAt === undefined ? this.#members.renewalMs : this.#times.resendMs;
				if (this.#loans.mayLend(partition, keeper, now) && now - lastAt >= intervalMs) {
					this.#getOutgoing(keeper);
				}
			}
		}
	}

	#lendToItself(partition: number, share: number, now: number): void {
		const {vm} = this.options;
		if (this.#loans.mayLend(partition, vm, now)) {
			const until = now + this.#members.loanMs;
			this.#loans.lend(partition, vm, until, now);
			this.#buckets.setLoan(partition, vm, {share, until}, now);
		}
	}

	#endOwnLoan(partition: number, now: number): void {
		const {vm} = this.options;
		if (this.#loans.getKeeper(partition, now) === vm) {
			this.#buckets.endLoan(partition, vm, now);
			this.#loans.endLoan(partition);
		}
	}

	#listPartitionsToLend(keeper: string, now: number): number[] {
		return this.#members.computeShare(now) === 0
			? []
			: this.#activePartitions.filter(partition => this.#chooseKeeper(partition) === keeper && this.#loans.mayLend(partition, keeper, now));
	}

	#createCall(to: string, asks: readonly pendingAsks.PendingAsk[], returned: readonly quotaMessage.ReturnedUnits[], now: number): OutgoingCall {
		const clock = this.#peers.getClock(to);
		const isRecent = clock !== undefined && now - clock.receivedAt < this.#members.loanMs * maxReadingAge;
		const partitions = isRecent && this.#peers.isResponsive(to) ? this.#listPartitionsToLend(to, now) : [];
		for (const partition of partitions) {
			this.#loans.lend(partition, to, clock!.receivedAt + this.#members.loanMs, now);
		}

		if (this.#peers.recordCall(to, now)) {
			this.options.onPeerChange?.(to, false);
		}

		return {
			to,
			call: {
				vm: this.options.vm,
				...(clock && {basedOn: clock.reading}),
				...(partitions.length > 0 && {loan: {partitions, share: this.#members.computeShare(now), durationMs: this.#members.loanMs}}),
				asks: asks.map(({id, account, units}) => ({id, account, units})),
				returned,
			},
		};
	}

	#decide({account, units}: Pick<quotaMessage.QuotaAsk, 'account' | 'units'>, now: number): quotaMessage.QuotaDecision {
		const limits = this.options.findQuota(account);
		if (limits !== undefined) {
			return this.#buckets.take({account, partition: this.#getPartition(account), units}, limits, now);
		}

		return this.options.admitsUnknown()
			? {
				outcome: quotaMessage.QuotaOutcome.Granted, retryAfterMs: 0, availableUnits: 0, heldShare: 1, usage: 0,
			}
			: createUnavailable(this.#times.askTimeoutMs);
	}

	#applyReturned({account, units}: quotaMessage.ReturnedUnits, now: number): void {
		const limits = this.options.findQuota(account);
		if (limits !== undefined) {
			this.#buckets.giveBack({account, partition: this.#getPartition(account), units}, limits, now);
		}
	}

	/** Gives what the buckets of a VM that shuts down hold to the keepers that have the shares now. */
	#handOver(now: number): void {
		const isAlone = this.#activePartitions.every(partition => this.#chooseKeeper(partition) === this.options.vm);
		if (!isAlone) {
			for (const {account, units} of this.#buckets.takeAll()) {
				this.giveBack(account, units, now);
			}
		}
	}

	#createReply(decisions: quotaMessage.QuotaReply['decisions'], now: number): quotaMessage.QuotaReply {
		const {vm, incarnation} = this.options;
		return {
			vm, clock: {incarnation, at: now}, takesLoans: !this.#isClosing, decisions,
		};
	}

	/** Takes back the shares of a VM that shuts down, and asks another one. */
	#handleShutdown(vm: string, now: number): void {
		if (this.#peers.recordRefusal(vm, now)) {
			this.options.onPeerChange?.(vm, false);
		}

		this.#loans.endLoans(vm);
		this.#lendShares(now);
		for (const ask of this.#asks.listSentTo(vm)) {
			this.#sendAgain(ask, now);
		}
	}

	#updateAsks(now: number): DecidedAsk[] {
		this.#asks.removeDecided(now);
		const {expired, unanswered} = this.#asks.listDue(now);
		const decided = expired.map(ask => this.#settle(ask, this.#decideAlone(ask, now), this.options.vm));
		for (const ask of unanswered) {
			const decision = this.#sendAgain(ask, now);
			if (decision !== undefined) {
				decided.push(this.#settle(ask, decision, this.options.vm));
			}
		}

		return decided;
	}

	/** Sends an ask to the VM that keeps its account now. @returns The decision if that is this VM and can decide it. */
	#sendAgain(ask: pendingAsks.PendingAsk, now: number): quotaMessage.QuotaDecision | undefined {
		ask.sentTo = this.#findTarget(ask.partition, now);
		ask.sentAt = now;
		if (ask.sentTo === this.options.vm) {
			const decision = this.#decide(ask, now);
			return isPending(decision) ? undefined : decision;
		}

		this.#getOutgoing(ask.sentTo).asks.push(ask);
		return undefined;
	}

	/** Decides an ask that no keeper has decided, by what this VM holds. */
	#decideAlone(ask: pendingAsks.PendingAsk, now: number): quotaMessage.QuotaDecision {
		if (this.#buckets.getHeldShare(ask.partition, now) === 0) {
			return createUnavailable(this.#times.askTimeoutMs);
		}

		return this.#decide(ask, now);
	}

	#settle(ask: pendingAsks.PendingAsk, decision: quotaMessage.QuotaDecision, keeper: string): DecidedAsk {
		ask.isDecided = true;
		const {id, askedAt} = ask;
		return {
			id, decision, keeper, askedAt,
		};
	}
}

/** Whether a keeper can't decide yet: it refuses, but holds so few shares that others are about to lend it more. */
function isPending({outcome, heldShare}: quotaMessage.QuotaDecision): boolean {
	return outcome === quotaMessage.QuotaOutcome.Exceeded && heldShare < minDecidingShare;
}

function createUnavailable(retryAfterMs: number): quotaMessage.QuotaDecision {
	return {
		outcome: quotaMessage.QuotaOutcome.Unavailable, retryAfterMs, availableUnits: 0, heldShare: 0, usage: 0,
	};
}
