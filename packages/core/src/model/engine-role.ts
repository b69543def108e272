/** Part of the inference work that an engine takes. */
export enum EngineRole {
	/** Processes prompts and generates tokens. */
	Mixed = 'mixed',
	/** Processes prompts and exports their KV cache. */
	Prefill = 'prefill',
	/** Generates tokens from an imported KV cache. */
	Decode = 'decode',
}
