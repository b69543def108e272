import type * as ids from '../model/ids.js';
import * as invariant from '../util/invariant.js';
import * as cacheReport from './cache-report.js';
import * as pieceTable from './piece-table.js';
import type * as prefixKeys from './prefix-keys.js';

/** Options of the picture. */
export type CacheIndexOptions = {
	/** Bound on memory, in bytes as estimated by `bytesPerPiece` and `bytesPerHolder`. Default 16 MiB. */
	readonly maxBytes?: number;
};

/** A run of an engine's event stream without a gap; pieces refer to it by number, and dropping it voids them all. */
type Epoch = {
	readonly number: number;
	readonly endpoint: ids.EndpointId;
	readonly incarnation: ids.Incarnation;
};

type EngineState = {
	incarnation: ids.Incarnation;
	/** Last event sequence; absent until the first event. */
	sequence: number | undefined;
	currentEpoch: Epoch;
	/** Epochs before the latest gaps, latest last. */
	doubtfulEpochs: Epoch[];
	/** Earlier incarnations, latest last. */
	readonly deadIncarnations: ids.Incarnation[];
	/** Keys of the latest digest of another router. */
	digestKeys: ReadonlySet<string>;
};

const maxDeadIncarnations = 16;
const maxDoubtfulEpochs = 16;

/**
 * Which engine incarnation holds which pieces, as far as this router knows. Only a hint for placement: engines check
 * account and weights on their own. Memory is bounded; the pieces that were not used for longest go first.
 */
export class CacheIndex {
	readonly #engines = new Map<ids.EndpointId, EngineState>();
	readonly #epochs = new Map<number, Epoch>();
	readonly #pieces: pieceTable.PieceTable;
	#nextEpoch = 1;
	#overclaimedTokens = 0;

	constructor(options: CacheIndexOptions = {}) {
		this.#pieces = new pieceTable.PieceTable(options.maxBytes ?? 16 * 1024 * 1024);
	}

	/** Estimated bytes in use. */
	get bytes(): number {
		return this.#pieces.bytes;
	}

	/** Number of pieces known. */
	get pieceCount(): number {
		return this.#pieces.size;
	}

	/** Number of lookups that met a piece of another account or other weights under an equal key. */
	get saltConflicts(): number {
		return this.#pieces.saltConflicts;
	}

	/** Tokens that the picture claimed and answers then showed as not cached. */
	get overclaimedTokens(): number {
		return this.#overclaimedTokens;
	}

	/** The present incarnation of an engine, absent until it has reported. */
	incarnationOf(endpoint: ids.EndpointId): ids.Incarnation | undefined {
		return this.#engines.get(endpoint)?.incarnation;
	}

	/** Last event sequence of an engine's incarnation, for a reconnect. */
	lastSequence(endpoint: ids.EndpointId, incarnation: ids.Incarnation): number | undefined {
		const engine = this.#engines.get(endpoint);
		return engine?.incarnation === incarnation ? engine.sequence : undefined;
	}

	/**
	 * Takes the incarnation that an engine itself reports now; a new one voids all that was known. Events, answers and
	 * digests of any other incarnation are ignored: they may be of a dead one that this router never saw.
	 *
	 * @returns False when the incarnation is known to be dead.
	 */
	observeIncarnation(endpoint: ids.EndpointId, incarnation: ids.Incarnation): boolean {
		const engine = this.#engines.get(endpoint);
		if (engine?.incarnation === incarnation) {
			return true;
		}

		if (engine?.deadIncarnations.includes(incarnation)) {
			return false;
		}

		if (engine !== undefined) {
			this.#dropEpochs(engine);
		}

		this.#engines.set(endpoint, {
			incarnation,
			sequence: undefined,
			currentEpoch: this.#openEpoch(endpoint, incarnation),
			doubtfulEpochs: [],
			deadIncarnations: engine === undefined ? [] : [...engine.deadIncarnations, engine.incarnation].slice(-maxDeadIncarnations),
			digestKeys: new Set(),
		});
		return true;
	}

	/** Drops all that is known of an endpoint that went away. */
	forget(endpoint: ids.EndpointId): void {
		const engine = this.#engines.get(endpoint);
		if (engine === undefined) {
			return;
		}

		this.#dropEpochs(engine);
		this.#engines.delete(endpoint);
	}

	/** Makes what is known of an engine doubtful, as after a gap of unknown size. */
	markGap(endpoint: ids.EndpointId): void {
		const engine = this.#engines.get(endpoint);
		if (engine === undefined) {
			return;
		}

		engine.doubtfulEpochs.push(engine.currentEpoch);
		if (engine.doubtfulEpochs.length > maxDoubtfulEpochs) {
			this.#epochs.delete(engine.doubtfulEpochs.shift()!.number);
		}

		engine.currentEpoch = this.#openEpoch(endpoint, engine.incarnation);
	}

	/** Applies a cache event. */
	applyEvent(endpoint: ids.EndpointId, event: cacheReport.EngineCacheEvent): cacheReport.CacheEventOutcome {
		const engine = this.#findEngine(endpoint, event.incarnation);
		if (engine === undefined || (engine.sequence !== undefined && event.sequence <= engine.sequence)) {
			return cacheReport.CacheEventOutcome.Ignored;
		}

		const hasGap = engine.sequence !== undefined && event.sequence > engine.sequence + 1;
		if (hasGap) {
			this.markGap(endpoint);
		}

		engine.sequence = event.sequence;
		this.#applyChange(engine, event);
		return hasGap ? cacheReport.CacheEventOutcome.AppliedAfterGap : cacheReport.CacheEventOutcome.Applied;
	}

	/** Takes note that an engine was given a prompt: it will hold the pieces by the time it takes the next one. */
	addExpected(report: Omit<cacheReport.AnswerCacheReport, 'cachedTokens'>): void {
		this.#addPieces(report);
	}

	/** The same for pieces that another router tells of, whose account is not known here. */
	addExpectedKeys(endpoint: ids.EndpointId, incarnation: ids.Incarnation, keys: readonly string[]): void {
		const engine = this.#findEngine(endpoint, incarnation);
		for (const key of engine === undefined ? [] : keys) {
			this.#addHolder(this.#pieces.getOrCreate(key)!, engine!);
		}

		this.#pieces.evict();
	}

	/** Takes back what was expected of an attempt that failed: the pieces after the first `keptTokens`. */
	removeExpected(report: Omit<cacheReport.AnswerCacheReport, 'cachedTokens'>, keptTokens: number): void {
		const engine = this.#findEngine(report.endpoint, report.incarnation);
		let tokens = 0;
		for (const piece of engine === undefined ? [] : report.pieces) {
			tokens += piece.tokens;
			if (tokens > keptTokens) {
				this.#removeHolders(piece.key, engine!);
			}
		}
	}

	/** Corrects the picture by an answer: the engine has just used or computed all pieces of the prompt. */
	applyAnswer(report: cacheReport.AnswerCacheReport): void {
		const engine = this.#findEngine(report.endpoint, report.incarnation);
		if (engine === undefined) {
			return;
		}

		this.#overclaimedTokens += Math.max(0, this.#confirmedTokens(engine, report.pieces) - report.cachedTokens);
		this.#addPieces(report);
	}

	/** Applies another router's digest of the hot pieces that an engine holds; it replaces the digest before. */
	applyDigest(endpoint: ids.EndpointId, incarnation: ids.Incarnation, keys: readonly string[]): void {
		const engine = this.#findEngine(endpoint, incarnation);
		if (engine === undefined) {
			return;
		}

		const digest = new Set(keys);
		for (const key of engine.digestKeys) {
			if (!digest.has(key)) {
				this.#removeHolders(key, engine);
			}
		}

		engine.digestKeys = digest;
		for (const key of digest) {
			this.#addHolder(this.#pieces.getOrCreate(key)!, engine);
		}

		this.#pieces.evict();
	}

	/** Returns whether the present incarnation of an engine is confirmed to hold a piece. */
	holds(endpoint: ids.EndpointId, key: string): boolean {
		const engine = this.#engines.get(endpoint);
		return engine !== undefined && (this.#pieces.get(key)?.holders.includes(engine.currentEpoch.number) ?? false);
	}

	/**
	 * Returns the engines that hold the beginning of a prompt, longest first.
	 *
	 * @param salt - Account and weights, as `cacheSalt` gives them; pieces of others are never matched.
	 */
	lookup(salt: string, pieces: readonly prefixKeys.PrefixPiece[]): cacheReport.CacheHit[] {
		const runs = new Map<EngineState, {tokens: number; doubtfulTokens: number}>();
		let before = 0;
		for (const piece of pieces) {
			const state = this.#pieces.get(piece.key);
			if (state === undefined || !this.#pieces.bindSalt(state, salt)) {
				break;
			}

			this.#pieces.touch(piece.key, state);
			if (!this.#extendHits(runs, state, before, piece.tokens)) {
				break;
			}

			before += piece.tokens;
		}

		return [...runs]
			.map(([engine, run]) => this.#toHit(engine, run))
			.sort((left, right) => right.tokens - left.tokens || right.doubtfulTokens - left.doubtfulTokens);
	}

	/** Returns whether any run reached the piece. */
	#extendHits(
		runs: Map<EngineState, {tokens: number; doubtfulTokens: number}>,
		state: pieceTable.PieceState,
		before: number,
		tokens: number,
	): boolean {
		let isExtended = false;
		for (const number of this.#liveHolders(state)) {
			const epoch = this.#epochs.get(number)!;
			const engine = this.#engines.get(epoch.endpoint)!;
			const run = runs.get(engine) ?? {tokens: 0, doubtfulTokens: 0};
			if (run.doubtfulTokens !== before) {
				continue;
			}

			isExtended = true;
			run.doubtfulTokens += tokens;
			if (epoch === engine.currentEpoch && run.tokens === before) {
				run.tokens += tokens;
			}

			runs.set(engine, run);
		}

		return isExtended;
	}

	#toHit(engine: EngineState, run: {readonly tokens: number; readonly doubtfulTokens: number}): cacheReport.CacheHit {
		const {endpoint, incarnation} = engine.currentEpoch;
		invariant.assertInvariant(
			this.#engines.get(endpoint) === engine && engine.incarnation === incarnation && !engine.deadIncarnations.includes(incarnation),
			'cache.live-incarnation',
			() => `${endpoint} ${incarnation}`,
		);
		return {
			endpoint, incarnation, tokens: run.tokens, doubtfulTokens: run.doubtfulTokens,
		};
	}

	/** Returns the state of an engine if the incarnation is its present one. */
	#findEngine(endpoint: ids.EndpointId, incarnation: ids.Incarnation): EngineState | undefined {
		const engine = this.#engines.get(endpoint);
		return engine?.incarnation === incarnation ? engine : undefined;
	}

	#openEpoch(endpoint: ids.EndpointId, incarnation: ids.Incarnation): Epoch {
		const epoch = {number: this.#nextEpoch, endpoint, incarnation};
		this.#nextEpoch += 1;
		this.#epochs.set(epoch.number, epoch);
		return epoch;
	}

	#dropEpochs(engine: EngineState): void {
		for (const epoch of [engine.currentEpoch, ...engine.doubtfulEpochs]) {
			this.#epochs.delete(epoch.number);
		}
	}

	#addPieces(report: Omit<cacheReport.AnswerCacheReport, 'cachedTokens'>): void {
		const engine = this.#findEngine(report.endpoint, report.incarnation);
		if (engine === undefined) {
			return;
		}

		for (const piece of report.pieces) {
			const state = this.#pieces.getOrCreate(piece.key, report.salt);
			if (state !== undefined) {
				this.#addHolder(state, engine);
			}
		}

		this.#pieces.evict();
	}

	#applyChange(engine: EngineState, event: cacheReport.EngineCacheEvent): void {
		switch (event.change) {
			case cacheReport.CacheChange.Stored: {
				this.#addHolder(this.#pieces.getOrCreate(event.key)!, engine);
				this.#pieces.evict();
				break;
			}

			case cacheReport.CacheChange.Evicted: {
				this.#removeHolders(event.key, engine);
				break;
			}

			case cacheReport.CacheChange.Cleared: {
				this.#dropEpochs(engine);
				engine.doubtfulEpochs = [];
				engine.currentEpoch = this.#openEpoch(engine.currentEpoch.endpoint, engine.incarnation);
				break;
			}
		}
	}

	#confirmedTokens(engine: EngineState, pieces: readonly prefixKeys.PrefixPiece[]): number {
		let tokens = 0;
		for (const piece of pieces) {
			if (!this.holds(engine.currentEpoch.endpoint, piece.key)) {
				break;
			}

			tokens += piece.tokens;
		}

		return tokens;
	}

	#addHolder(state: pieceTable.PieceState, engine: EngineState): void {
		if (state.holders.includes(engine.currentEpoch.number)) {
			return;
		}

		this.#pieces.filterHolders(state, number => this.#epochs.has(number) && !isEpochOf(engine, number));
		this.#pieces.addHolder(state, engine.currentEpoch.number);
	}

	#removeHolders(key: string, engine: EngineState): void {
		const state = this.#pieces.get(key);
		if (state === undefined) {
			return;
		}

		this.#pieces.filterHolders(state, number => !isEpochOf(engine, number));
		if (this.#liveHolders(state).length === 0) {
			this.#pieces.delete(key);
		}
	}

	/** Drops the numbers of epochs that ended and returns the rest. */
	#liveHolders(state: pieceTable.PieceState): number[] {
		if (state.holders.some(number => !this.#epochs.has(number))) {
			this.#pieces.filterHolders(state, number => this.#epochs.has(number));
		}

		return state.holders;
	}
}

function isEpochOf(engine: EngineState, epoch: number): boolean {
	return engine.currentEpoch.number === epoch || engine.doubtfulEpochs.some(earlier => earlier.number === epoch);
}
