import type * as http from 'node:http';
import type * as records from './users-server-records.js';

/** A request whose head has arrived. */
export type ReceivedRequest = {
	/** Milliseconds since the Unix epoch. */
	readonly arrivedAt: number;
	readonly end: ResponseEnd;
	/** Absent if it has not been read yet. */
	readonly body?: string;
};

/** When a response was complete or its connection closed, observed from the arrival of the request on. */
export class ResponseEnd {
	#endedAt: number | undefined;

	constructor(private readonly res: http.ServerResponse) {
		res.once('close', () => {
			this.#endedAt = Date.now();
		});
	}

	/** Records the end in an execution, which may begin after it, and calls `onAbandoned` if the response was not complete. */
	recordIn(execution: records.UsersServerExecution, onAbandoned: () => void): void {
		const record = (): void => {
			execution.endedAt = this.#endedAt;
			if (!this.res.writableFinished) {
				onAbandoned();
			}
		};

		if (this.#endedAt !== undefined) {
			record();
			return;
		}

		this.res.once('close', record);
	}
}
