import type * as clients from '@bluebellmast/kv';
import type * as routerClient from '../routers/router-client.js';

/** Key-value client that is closed at the end of a command. */
export type ClosableKvClient = clients.kv.KeyValueClient & {
	close(): Promise<void>;
};

/** What commands work with; tests give their own. */
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
	readonly now: () => number;
	readonly sleep: (durationMs: number) => Promise<void>;
	/** Returns a text that no other change has. */
	readonly createId: () => string;
	readonly operator: string;
};
