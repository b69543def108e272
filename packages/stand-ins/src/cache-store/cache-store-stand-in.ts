import type * as http from 'node:http';
import * as fault from '../fault/index.js';
import * as util from '../util/index.js';

/** A stored piece of KV cache: the cached state of one piece of a prompt. */
export type StoredPiece = {
	readonly key: string;
	readonly tokens: number;
	/** Salt under which engines may reuse the piece. */
	readonly salt: string;
	readonly account: string;
	readonly weights: string;
};

/** Options of a KV cache store stand-in. */
export type CacheStoreOptions = fault.StandInOptions & {
	/** Capacity in tokens; default 10,000,000. */
	readonly limitTokens?: number;
};

const defaultLimitTokens = 10_000_000;

/**
 * Stand-in for the KV cache store: `PUT /v1/pieces` stores a JSON array of pieces, `POST /v1/pieces/get` with
 * `{"keys":[...]}` returns the stored pieces with these keys, `GET /v1/pieces` lists all stored keys.
 */
export class CacheStoreStandIn implements fault.StandIn {
	readonly server: fault.StandInServer;
	readonly #limitTokens: number;
	readonly #pieces = new Map<string, StoredPiece>();
	#tokenCount = 0;

	constructor(options: CacheStoreOptions) {
		this.#limitTokens = options.limitTokens ?? defaultLimitTokens;
		this.server = new fault.StandInServer(options, async (req, res) => this.#handle(req, res), {
			record: () => [...this.#pieces.values()],
		});
	}

	async start(): Promise<fault.StandInAddresses> {
		return this.server.start();
	}

	async stop(): Promise<void> {
		await this.server.stop();
	}

	/** Stores pieces and removes the oldest ones beyond the capacity. */
	put(pieces: readonly StoredPiece[]): void {
		for (const piece of pieces) {
			this.#remove(piece.key);
			this.#pieces.set(piece.key, piece);
			this.#tokenCount += piece.tokens;
		}

		while (this.#tokenCount > this.#limitTokens) {
			this.#remove(this.#pieces.keys().next().value!);
		}
	}

	/** Returns the stored pieces with the given keys. */
	get(keys: readonly string[]): StoredPiece[] {
		return keys.flatMap(key => this.#pieces.get(key) ?? []);
	}

	async #handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const path = util.pathOf(req);
		const body = await util.readJson(req);
		await this.server.faults.waitBeforeResponse();
		switch (`${req.method} ${path}`) {
			case 'PUT /v1/pieces': {
				this.put(body as StoredPiece[]);
				util.sendJson(res, 200, {});
				break;
			}

			case 'POST /v1/pieces/get': {
				util.sendJson(res, 200, this.get((body as {keys: string[]}).keys));
				break;
			}

			case 'GET /v1/pieces': {
				util.sendJson(res, 200, {keys: [...this.#pieces.keys()]});
				break;
			}

			default: {
				util.sendJson(res, 404, {message: 'unknown path'});
			}
		}
	}

	#remove(key: string): void {
		this.#tokenCount -= this.#pieces.get(key)?.tokens ?? 0;
		this.#pieces.delete(key);
	}
}

/** Creates a KV cache store stand-in. */
export function createCacheStore(options: CacheStoreOptions = {}): CacheStoreStandIn {
	return new CacheStoreStandIn(options);
}
