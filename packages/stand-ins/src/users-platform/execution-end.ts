import type * as http from 'node:http';
import type * as records from './users-server-records.js';

/** Records in an execution when its response is complete or its connection closes, and calls `onAbandoned` if the response was not complete. */
export function recordEnd(execution: records.UsersServerExecution, res: http.ServerResponse, onAbandoned: () => void): void {
	const record = (): void => {
		execution.endedAt = Date.now();
		if (!res.writableFinished) {
			onAbandoned();
		}
	};

	if (res.closed) {
		record();
		return;
	}

	res.once('close', record);
}
