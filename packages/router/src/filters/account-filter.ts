import * as buffer from 'node:buffer';
import * as crypto from 'node:crypto';
import * as core from '@bluebellmast/core';
import * as callModule from './call.js';
import type * as filter from './filter.js';
import type * as requestContext from './request-context.js';

const bearerPattern = /^Bearer (\S+)$/;

/** Finds the client account by its bearer key, and the request kind. */
export class AccountFilter implements filter.Filter {
	async handle(ctx: requestContext.RequestContext, next: filter.Next): Promise<void> {
		const account = findAccount(ctx.manifest, ctx.headers.authorization);
		if (account === undefined) {
			this.#refuse(ctx, core.model.ErrorCode.Unauthenticated, 'no client account has this bearer key');
			return;
		}

		const target = targetOf(ctx.call);
		if (target !== undefined && account.allowed.length > 0 && !account.allowed.includes(target)) {
			this.#refuse(ctx, core.model.ErrorCode.Forbidden, `the account may not use ${target}`);
			return;
		}

		const kind = findKind(ctx);
		if (kind === undefined) {
			this.#refuse(ctx, core.model.ErrorCode.NotFound, `there is no ${target ?? 'kind'} of this name`);
			return;
		}

		ctx.account = account;
		ctx.kind = kind;
		await next();
	}

	#refuse(ctx: requestContext.RequestContext, code: core.model.ErrorCode, message: string): void {
		ctx.answer.sendRefusal(core.request.createRefusal(code, [], {message}));
	}
}

/** Returns the account with the bearer key of an `authorization` header. Compares in constant time. */
function findAccount(manifest: core.model.Manifest, authorization: string | undefined): core.model.ClientAccount | undefined {
	const key = bearerPattern.exec(authorization ?? '')?.[1];
	if (key === undefined) {
		return undefined;
	}

	const digest = crypto.createHash('sha256').update(key).digest();
	return manifest.accounts.find(account => account.keyHashes.some(hash => equalsHash(digest, hash)));
}

function equalsHash(digest: Uint8Array, hash: string): boolean {
	const expected = buffer.Buffer.from(hash, 'hex');
	return expected.length === digest.length && crypto.timingSafeEqual(expected, digest);
}

function targetOf(call: callModule.Call): string | undefined {
	switch (call.type) {
		case callModule.CallType.Chat: {
			return call.model;
		}

		case callModule.CallType.Service: {
			return call.service;
		}

		case callModule.CallType.IssueKey: {
			return undefined;
		}
	}
}

function findKind(ctx: requestContext.RequestContext): core.model.RequestKind | undefined {
	const {manifest} = ctx;
	const id = ctx.call.type === callModule.CallType.Chat
		? chatKind(manifest, ctx.call, ctx.headers.requestKind)
		: serviceKind(manifest, ctx.call);
	return manifest.kinds.find(kind => kind.id === id);
}

function chatKind(manifest: core.model.Manifest, call: callModule.ChatCall, named: string | undefined): string | undefined {
	const model = manifest.models.find(candidate => candidate.id === call.model);
	return model && (named ?? model.defaultKind);
}

/** Only the manifest's rules name the kind of a plain call, so that no caller can make a booking repeatable. */
function serviceKind(manifest: core.model.Manifest, call: callModule.Call): string | undefined {
	if (call.type !== callModule.CallType.Service) {
		return manifest.kinds[0]?.id;
	}

	const service = manifest.services.find(candidate => candidate.id === call.service);
	const [path] = call.path.split('?', 1);
	const rule = service?.rules.find(candidate =>
		(candidate.method === '*' || candidate.method === call.method) && path!.startsWith(candidate.pathPrefix));
	return rule?.kind ?? service?.defaultKind;
}
