import type * as http from 'node:http';
import * as util from '../util/index.js';

/** A failed call: HTTP status, gRPC status code and message. */
export type KvFailure = {
	readonly status: number;
	readonly code: number;
	readonly message: string;
};

/** The rate limit is exceeded. */
export const rateLimitFailure: KvFailure = {status: 429, code: 8, message: 'etcdserver: too many requests'};
/** The lease does not exist. */
export const leaseNotFoundFailure: KvFailure = {status: 404, code: 5, message: 'etcdserver: requested lease not found'};
/** A value exceeds the size limit. */
export const valueTooLargeFailure: KvFailure = {status: 400, code: 3, message: 'etcdserver: request is too large'};

/** Returns whether the result of a call is a failure. */
export function isFailure(result: unknown): result is KvFailure {
	return typeof result === 'object' && result !== null && 'status' in result;
}

/** Responds with a failure. */
export function sendFailure(res: http.ServerResponse, failure: KvFailure): void {
	util.sendJson(res, failure.status, {error: failure.message, code: failure.code, message: failure.message});
}
