import type * as ids from '../model/ids.js';
import * as invariant from '../util/invariant.js';
import * as cacheReport from './cache-report.js';
import * as pieceTable from './piece-table.js';
import type * as prefixKeys from './prefix-keys.js';

/** Options of {@link CacheIndex}. */
export type CacheIndexOptions = {
	/** Memory limit in bytes, as estimated by `bytesPerPiece` and `bytesPerHolder`. Default 16 MiB. */
	readonly maxBytes?: number;
};

/**
 * A section of an engine's event stream without a gap. Pieces refer to it by number, so removing an epoch invalidates all of its
 * pieces at once.
 */
type Epoch = {
	readonly number: number;
	readonly endpoint: ids.EndpointId;
	readonly incarnation: ids.Incarnation;
};

type EngineState = {
	incarnation: ids.Incarnation;
	/** Sequence number of the last event; absent until the first event. */
	sequence: number | undefined;
	currentEpoch: Epoch;
	/** Epochs before the latest gaps, most recent last; their pieces are unconfirmed. */
	unconfirmedEpochs: Epoch[];
	/** Earlier incarnations, most recent last. */
	readonly endedIncarnations: ids.Incarnation[];
	/** Piece keys of the latest digest from another router. */
	digestKeys: ReadonlySet<string>;
};

const maxEndedIncarnations = 16;
const maxUnconfirmedEpochs = 16;

/**
 * Index of the pieces that each engine incarnation has cached, as far as this router knows. It is only a hint for placement, since
 * engines check account and weights themselves. Memory is bounded; the least recently used pieces are evicted first.
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

	/** Number of known pieces. */
	get pieceCount(): number {
		return this.#pieces.size;
	}

	/** Number of times that a key belonged to a piece of another account or other weights. */
	get saltConflicts(): number {
		return this.#pieces.saltConflicts;
	}

	/** Tokens that the index had as cached and that responses showed as not cached. */
	get overclaimedTokens(): number {
		return this.#overclaimedTokens;
	}

	/** Returns the current incarnation of an engine; `undefined` until it has reported. */
	incarnationOf(endpoint: ids.EndpointId): ids.Incarnation | undefined {
		return this.#engines.get(endpoint)?.incarnation;
	}

	/** Returns the last event sequence number of an engine's incarnation, to resume its event stream. */
	lastSequence(endpoint: ids.EndpointId, incarnation: ids.Incarnation): number | undefined {
		const engine = this.#engines.get(endpoint);
		return engine?.incarnation === incarnation ? engine.sequence : undefined;
	}

	/**
	 * Sets the incarnation that an engine itself reports; a new one invalidates everything known about the engine. Events, responses
	 * and digests of any other incarnation are ignored, since they may be of an ended one that this router never saw.
	 *
	 * @returns `false` if the incarnation is known to have ended.
	 */
	observeIncarnation(endpoint: ids.EndpointId, incarnation: ids.Incarnation): boolean {
		const engine = this.#engines.get(endpoint);
		if (engine?.incarnation === incarnation) {
			return true;
		}

		if (engine?.endedIncarnations.includes(incarnation)) {
			return false;
		}

		if (engine !== undefined) {
			this.#dropEpochs(engine);
		}

		this.#engines.set(endpoint, {
			incarnation,
			sequence: undefined,
			currentEpoch: this.#openEpoch(endpoint, incarnation),
			unconfirmedEpochs: [],
			endedIncarnations: engine === undefined ? [] : [...engine.endedIncarnations, engine.incarnation].slice(-maxEndedIncarnations),
			digestKeys: new Set(),
		});
		return true;
	}

	/** Removes all endpoints but the given ones. Pieces that only removed ones held leave by eviction. */
	retain(endpoints: ReadonlySet<ids.EndpointId>): void {
		for (const [endpoint, engine] of this.#engines) {
			if (!endpoints.has(endpoint)) {
				this.#dropEpochs(engine);
				this.#engines.delete(endpoint);
			}
		}
	}

	/** Marks the pieces of an engine as unconfirmed, as after an event gap of unknown size. */
	markGap(endpoint: ids.EndpointId): void {
		const engine = this.#engines.get(endpoint);
		if (engine === undefined) {
			return;
		}

		engine.unconfirmedEpochs.push(engine.currentEpoch);
		if (engine.unconfirmedEpochs.length > maxUnconfirmedEpochs) {
			this.#epochs.delete(engine.unconfirmedEpochs.shift()!.number);
		}

		engine.currentEpoch = this.#openEpoch(endpoint, engine.incarnation);
	}

	/** Applies a cache event of an engine. */
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

	/** Adds the pieces of a prompt that was sent to an engine, which has them cached by the time it processes the next prompt. */
	addExpected(report: Omit<cacheReport.ResponseCacheReport, 'cachedTokens'>): void {
		this.#addPieces(report);
	}

	/** Adds pieces that another router announced, whose account is unknown to this router. */
	addExpectedKeys(endpoint: ids.EndpointId, incarnation: ids.Incarnation, keys: readonly string[]): void {
		const engine = this.#findEngine(endpoint, incarnation);
		for (const key of engine === undefined ? [] : keys) {
			this.#addHolder(this.#pieces.getOrCreate(key)!, engine!);
		}

		this.#pieces.evict();
	}

	/** Removes the pieces that were expected of a failed attempt, except those within the first `cachedTokens` tokens. */
	removeExpected(report: Omit<cacheReport.ResponseCacheReport, 'cachedTokens'>, cachedTokens: number): void {
		const engine = this.#findEngine(report.endpoint, report.incarnation);
		let tokens = 0;
		for (const piece of engine === undefined ? [] : report.pieces) {
			tokens += piece.tokens;
			if (tokens > cachedTokens) {
				this.#removeHolders(piece.key, engine!);
			}
		}
	}

	/** Corrects the index by a response: the engine has just used or computed all pieces of the prompt. */
	applyResponse(report: cacheReport.ResponseCacheReport): void {
		const engine = this.#findEngine(report.endpoint, report.incarnation);
		if (engine === undefined) {
			return;
		}

		this.#overclaimedTokens += Math.max(0, this.#confirmedTokens(engine, report.pieces) - report.cachedTokens);
		this.#addPieces(report);
	}

	/** Applies another router's digest of the hot pieces that an engine holds; it replaces the previous digest. */
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

	/** Returns whether the current incarnation of an engine is confirmed to hold a piece. */
	holds(endpoint: ids.EndpointId, key: string): boolean {
		const engine = this.#engines.get(endpoint);
		return engine !== undefined && (this.#pieces.get(key)?.holders.includes(engine.currentEpoch.number) ?? false);
	}

	/**
	 * Returns the engines that hold the beginning of a prompt, longest match first.
	 *
	 * @param salt - Account and weights, as returned by `cacheSalt`; pieces with another salt never match.
	 */
	lookup(salt: string, pieces: readonly prefixKeys.PrefixPiece[]): cacheReport.CacheHit[] {
		const matches = new Map<EngineState, {tokens: number; tokensWithUnconfirmed: number}>();
		let precedingTokens = 0;
		for (const piece of pieces) {
			const state = this.#pieces.get(piece.key);
			if (state === undefined || !this.#pieces.bindSalt(state, salt)) {
				break;
			}

			this.#pieces.touch(piece.key, state);
			if (!this.#extendMatches(matches, state, precedingTokens, piece.tokens)) {
				break;
			}

			precedingTokens += piece.tokens;
		}

		return [...matches]
			.map(([engine, match]) => this.#toHit(engine, match))
			.sort((left, right) => right.tokens - left.tokens || right.tokensWithUnconfirmed - left.tokensWithUnconfirmed);
	}

	/** Adds a piece to the matches of its holders that reach up to it; returns whether there are any. */
	#extendMatches(
		matches: Map<EngineState, {tokens: number; tokensWithUnconfirmed: number}>,
		state: pieceTable.PieceState,
		precedingTokens: number,
		tokens: number,
	): boolean {
		let isExtended = false;
		for (const number of this.#liveHolders(state)) {
			const epoch = this.#epochs.get(number)!;
			const engine = this.#engines.get(epoch.endpoint)!;
			const match = matches.get(engine) ?? {tokens: 0, tokensWithUnconfirmed: 0};
			if (match.tokensWithUnconfirmed !== precedingTokens) {
				continue;
			}

			isExtended = true;
			match.tokensWithUnconfirmed += tokens;
			if (epoch === engine.currentEpoch && match.tokens === precedingTokens) {
				match.tokens += tokens;
			}

			matches.set(engine, match);
		}

		return isExtended;
	}

	#toHit(engine: EngineState, match: {readonly tokens: number; readonly tokensWithUnconfirmed: number}): cacheReport.CacheHit {
		const {endpoint, incarnation} = engine.currentEpoch;
		invariant.assertInvariant(
			this.#engines.get(endpoint) === engine && engine.incarnation === incarnation && !engine.endedIncarnations.includes(incarnation),
			'cache.live-incarnation',
			() => `a hit on ${endpoint} names incarnation ${incarnation}, which is not the current one`,
		);
		return {
			endpoint, incarnation, tokens: match.tokens, tokensWithUnconfirmed: match.tokensWithUnconfirmed,
		};
	}

	/** Returns the state of an engine if the incarnation is its current one. */
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
		for (const epoch of [engine.currentEpoch, ...engine.unconfirmedEpochs]) {
			this.#epochs.delete(epoch.number);
		}
	}

	#addPieces(report: Omit<cacheReport.ResponseCacheReport, 'cachedTokens'>): void {
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
				engine.unconfirmedEpochs = [];
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

	/** Removes the numbers of dropped epochs from a piece and returns the rest. */
	#liveHolders(state: pieceTable.PieceState): number[] {
		if (state.holders.some(number => !this.#epochs.has(number))) {
			this.#pieces.filterHolders(state, number => this.#epochs.has(number));
		}

		return state.holders;
	}
}

function isEpochOf(engine: EngineState, epoch: number): boolean {
	return engine.currentEpoch.number === epoch || engine.unconfirmedEpochs.some(earlier => earlier.number === epoch);
}
