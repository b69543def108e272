import type * as clients from '@bluebellmast/kv';
import type * as routerClient from '../routers/router-client.js';

/** A key-value client that the command closes at its end. */
export type ClosableKvClient = clients.kv.KeyValueClient & {
	close(): Promise<void>;
};

/** Input, output and services that commands use; replaced by fakes in tests. */
export type CommandContext = {
	/** Writes a line to standard output. */
	readonly print: (line: string) => void;
	/** Writes a line to standard error. */
	readonly warn: (line: string) => void;
	/** Reads a file, or standard input for `-`. */
	readonly readFile: (file: string) => string;
	readonly writeFile: (file: string, text: string) => void;
	readonly createKv: (urls: readonly string[]) => ClosableKvClient;
	readonly createRouterClient: (url: string, operatorKey: string | undefined) => routerClient.RouterClient;
	/** Returns the time in milliseconds since the Unix epoch. */
	readonly now: () => number;
	readonly sleep: (durationMs: number) => Promise<void>;
	/** Returns a unique id, which becomes part of a change id. */
	readonly createId: () => string;
	/** User name of the operator. */
	readonly operator: string;
};
