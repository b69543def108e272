import type * as core from '@bluebellmast/core';
import type * as peerLink from './peer-link.js';

/** Which of two links to the same router is used. */
export enum DuplicateChoice {
	KeepExisting = 'keep_existing',
	UseNew = 'take_new',
}

/** Properties of a link that the choice depends on. */
export type LinkProperties = {
	readonly incarnation: core.model.Incarnation;
	/** Whether this end opened the link. */
	readonly dialled: boolean;
	/** Whether either end opened the link recently to replace a silent one. */
	readonly replacesSilentLink: boolean;
};

/**
 * Chooses between two links to the same router. Both ends make the same choice, in whichever order they see the links:
 * the new link is used if the incarnation differs, if the same end opened both links, or if only the new link is a
 * replacement. Of two links that both ends opened at the same time, the one opened by the smaller VM name is used.
 */
export function chooseLink(
	self: core.model.VmId,
	peer: core.model.VmId,
	existing: LinkProperties,
	next: LinkProperties,
): DuplicateChoice {
	if (existing.incarnation !== next.incarnation || existing.dialled === next.dialled) {
		return DuplicateChoice.UseNew;
	}

	if (existing.replacesSilentLink !== next.replacesSilentLink) {
		return next.replacesSilentLink ? DuplicateChoice.UseNew : DuplicateChoice.KeepExisting;
	}

	const isDialledBySmaller = next.dialled === (self < peer);
	return isDialledBySmaller ? DuplicateChoice.UseNew : DuplicateChoice.KeepExisting;
}

/**
 * Returns the properties of a link whose hello has been received.
 *
 * @param maxReplacementAgeMs - Maximum age at which a link still counts as a replacement, in milliseconds.
 */
export function linkPropertiesOf(link: peerLink.PeerLink, now: number, maxReplacementAgeMs: number): LinkProperties {
	return {
		incarnation: link.hello!.incarnation,
		dialled: link.dialled,
		replacesSilentLink: now - link.openedAt <= maxReplacementAgeMs && (link.replacesSilentLink || link.hello!.replaces),
	};
}
