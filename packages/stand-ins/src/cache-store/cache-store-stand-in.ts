import type * as http from 'node:http';
import * as fault from '../fault/index.js';
import * as util from '../util/index.js';

/** A kept piece of KV cache. */
export type StoredPiece = {
	readonly key: string;
	readonly tokens: number;
	/** Salt under which the engine may use it. */
	readonly salt: string;
	readonly account: string;
	readonly weights: string;
};

/** Options of the store of kept KV cache. */
export type CacheStoreOptions = fault.StandInOptions & {
	/** Tokens that the store keeps; default 10,000,000. */
	readonly limitTokens?: number;
};

const defaultLimitTokens = 10_000_000;

/**
 * Store of kept KV cache: `PUT /v1/pieces` keeps a JSON array of pieces, `POST /v1/pieces/get` with `{"keys":[...]}`
 * returns those that are kept, `GET /v1/pieces` lists the keys.
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

	/** Keeps pieces; the oldest are dropped beyond the limit. */
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

	/** Returns the pieces of the keys that are kept. */
	get(keys: readonly string[]): StoredPiece[] {
		return keys.flatMap(key => this.#pieces.get(key) ?? []);
	}

	async #handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const path = util.pathOf(req);
		const body = await util.readJson(req);
		await this.server.faults.waitBeforeAnswer();
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

/** Creates a store of kept KV cache. */
export function createCacheStore(options: CacheStoreOptions = {}): CacheStoreStandIn {
	return new CacheStoreStandIn(options);
}
