import type * as core from '@bluebellmast/core';
import type * as peerLink from './peer-link.js';

/** What to do when a second link to the same router is ready. */
export enum DuplicateChoice {
	KeepExisting = 'keep_existing',
	UseNew = 'take_new',
}

/** The facts about a link that the choice rests on. */
export type LinkProperties = {
	readonly incarnation: core.model.Incarnation;
	readonly dialled: boolean;
	/** Whether either end opened the link, just now, to replace a silent one. */
	readonly replaces: boolean;
};

/**
 * Chooses between two links to the same router so that both ends choose alike, in whichever order they see the links: a
 * new incarnation, a replacement and a second call of the same end take the place of the earlier link; of two links
 * that the ends opened towards each other, the one that the smaller VM name opened stays.
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

	if (existing.replaces !== next.replaces) {
		return next.replaces ? DuplicateChoice.UseNew : DuplicateChoice.KeepExisting;
	}

	const dialledBySmaller = next.dialled === (self < peer);
	return dialledBySmaller ? DuplicateChoice.UseNew : DuplicateChoice.KeepExisting;
}

/**
 * Returns the facts of a link whose hello has been received.
 *
 * @param recentMs - Age up to which a replacement counts as new.
 */
export function linkPropertiesOf(link: peerLink.PeerLink, now: number, recentMs: number): LinkProperties {
	return {
		incarnation: link.hello!.incarnation,
		dialled: link.dialled,
		replaces: now - link.openedAt <= recentMs && (link.replaces || link.hello!.replaces),
	};
}
