/** Which part of the work an engine takes. */
export enum EngineRole {
	/** Computes prompts and generates tokens. */
	Mixed = 'mixed',
	/** Computes prompts and exports their KV cache. */
	Prefill = 'prefill',
	/** Generates tokens on imported KV cache. */
	Decode = 'decode',
}
