import * as core from '@bluebellmast/core';
import * as purify from 'purify-ts';
import * as zod from 'zod';
import * as isNormalizedPath from '../util/is-normalized-path.js';
import * as callModule from './call.js';

const maxMessages = 1000;
const maxTokensLimit = 100_000;
const defaultMaxTokens = 256;
const servicePattern = /^\/v1\/services\/([^/?]+)(\/[^#]*)?$/;

const chatSchema = zod.object({
	model: zod.string().min(1),
	messages: zod.array(zod.object({role: zod.string().min(1), content: zod.string()})).min(1).max(maxMessages),
	stream: zod.boolean().default(false),
	max_tokens: zod.number().int().min(1).max(maxTokensLimit).default(defaultMaxTokens), // eslint-disable-line @typescript-eslint/naming-convention
});

/** The parts of an HTTP request that determine the call. */
export type RawRequest = {
	readonly method: string;
	/** Path with query. */
	readonly url: string;
	readonly contentType: string;
	readonly body: Uint8Array;
};

type ParseResult = purify.Either<core.model.Refusal, callModule.Call>;

/** Parses an HTTP request into a call. A refusal lists all validation findings with their place in the request. */
export function parseCall(raw: RawRequest): ParseResult {
	const [path] = raw.url.split('?', 1);
	if (path === '/v1/chat/completions') {
		return raw.method === 'POST' ? parseChat(raw) : refuse(core.model.ErrorCode.NotFound, `${raw.method} ${path} is not offered`);
	}

	if (path === '/v1/idempotency-keys' && raw.method === 'POST') {
		return purify.Right({type: callModule.CallType.IssueKey});
	}

	const match = servicePattern.exec(raw.url);
	if (!match) {
		return refuse(core.model.ErrorCode.NotFound, `${path} is not offered`);
	}

	if (!isNormalizedPath.isNormalizedPath(path!)) {
		const finding = {place: 'path', message: 'must have no dot segments, empty segments, backslashes or needless escapes'};
		return refuse(core.model.ErrorCode.InvalidRequest, 'the path is ambiguous', [finding]);
	}

	return purify.Right({
		type: callModule.CallType.Service,
		service: match[1]!,
		method: raw.method,
		path: match[2] ?? '/',
		contentType: raw.contentType,
		body: raw.body,
	});
}

function parseChat(raw: RawRequest): ParseResult {
	const json = parseJson(raw.body);
	if (json.isLeft()) {
		const finding: core.model.Finding = {place: 'body', message: String(json.extract())};
		return refuse(core.model.ErrorCode.InvalidRequest, 'the body is not JSON', [finding]);
	}

	const parsed = chatSchema.safeParse(json.extract());
	if (!parsed.success) {
		const findings = parsed.error.issues.map(issue => ({place: `/${issue.path.join('/')}`, message: issue.message}));
		return refuse(core.model.ErrorCode.InvalidRequest, `the body has ${findings.length} findings`, findings);
	}

	const [model, adapter] = parsed.data.model.split(':', 2);
	return purify.Right({
		type: callModule.CallType.Chat,
		model: model!,
		...(adapter !== undefined && {adapter}),
		messages: parsed.data.messages,
		stream: parsed.data.stream,
		maxTokens: parsed.data.max_tokens,
	});
}

function parseJson(body: Uint8Array): purify.Either<Error, unknown> {
	return purify.Either.encase(() => JSON.parse(new TextDecoder().decode(body)) as unknown);
}

function refuse(code: core.model.ErrorCode, message: string, findings?: readonly core.model.Finding[]): ParseResult {
	return purify.Left(core.request.createRefusal(code, [], {message, ...(findings && {findings})}));
}
