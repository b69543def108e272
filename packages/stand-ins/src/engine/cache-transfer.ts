import type * as wire from '@bluebellmast/wire';
import * as undici from 'undici';
import type * as cacheStore from '../cache-store/index.js';
import * as util from '../util/index.js';
import type * as prefixCache from './prefix-cache.js';

/** Moves cached pieces between an engine and the KV cache store. */
export class CacheTransfer {
	constructor(private readonly cache: prefixCache.PrefixCache, private readonly msPerPiece: number) {}

	/** Copies the requested pieces that are cached to the store, and returns their keys. */
	async export(request: wire.endpoint.CacheTransferRequest): Promise<wire.endpoint.CacheTransferResponse> {
		const pieces: cacheStore.StoredPiece[] = request.keys.flatMap(key => this.cache.getUnderAnySalt(key) ?? []);
		await util.sleep(this.msPerPiece * pieces.length);
		await callStore('PUT', `http://${request.store}/v1/pieces`, pieces);
		return {moved: pieces.map(piece => piece.key)};
	}

	/** Fetches the requested pieces that the store has, and returns their keys. */
	async import(request: wire.endpoint.CacheTransferRequest): Promise<wire.endpoint.CacheTransferResponse> {
		const answer = await callStore('POST', `http://${request.store}/v1/pieces/get`, {keys: request.keys});
		const pieces = answer as cacheStore.StoredPiece[];
		await util.sleep(this.msPerPiece * pieces.length);
		for (const piece of pieces) {
			this.cache.store(piece);
		}

		return {moved: pieces.map(piece => piece.key)};
	}
}

async function callStore(method: 'PUT' | 'POST', url: string, body: unknown): Promise<unknown> {
	const res = await undici.request(url, {method, body: JSON.stringify(body)});
	return res.body.json();
}
