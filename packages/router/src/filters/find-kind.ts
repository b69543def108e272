import type * as core from '@bluebellmast/core';
import * as callModule from './call.js';
import type * as requestContext from './request-context.js';

/** Returns the kind of a request, or `undefined` if its model, service or kind is unknown. */
export function findKind(ctx: requestContext.RequestContext): core.model.RequestKind | undefined {
	const {manifest, call} = ctx;
	if (call.type === callModule.CallType.IssueKey) {
		return manifest.kinds.find(kind => !kind.repeatable) ?? manifest.kinds[0];
	}

	const id = call.type === callModule.CallType.Chat
		? findChatKindId(manifest, call, ctx.headers.requestKind)
		: findServiceKindId(manifest, call);
	return manifest.kinds.find(kind => kind.id === id);
}

function findChatKindId(
	manifest: core.model.Manifest,
	call: callModule.ChatCall,
	requestedKind: string | undefined,
): string | undefined {
	const model = manifest.models.find(candidate => candidate.id === call.model);
	return model && (requestedKind ?? model.defaultKind);
}

/**
 * Only the manifest's rules determine the kind of a service call. A caller that could choose it could mark a request as
 * repeatable that must not run twice, such as a booking.
 */
function findServiceKindId(manifest: core.model.Manifest, call: callModule.ServiceCall): string | undefined {
	const service = manifest.services.find(candidate => candidate.id === call.service);
	const [path] = call.path.split('?', 1);
	const rule = service?.rules.find(candidate =>
		(candidate.method === '*' || candidate.method === call.method) && path!.startsWith(candidate.pathPrefix));
	return rule?.kind ?? service?.defaultKind;
}
