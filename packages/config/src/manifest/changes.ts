import type * as core from '@bluebellmast/core';
import * as purify from 'purify-ts';
import * as headCodec from './head-codec.js';
import type * as manifestContent from './manifest-content.js';
import * as sections from './sections.js';

/** Number of accepted changes that the head lists, so that the outcome of a write can be determined after later changes. */
export const maxRecentChanges = 64;

/** Size limit of an encoded head; the key-value service accepts values of up to a megabyte. */
export const maxHeadBytes = 900 * 1024;

/** A change to write: first the new sections, then the head by compare-and-swap. */
export type ChangeProposal = {
	readonly head: core.manifest.ManifestHead;
	/** Sections that the previous head does not refer to. */
	readonly newSections: readonly sections.Section[];
};

/** Reason for refusing a change. */
export enum ChangeRefusalCode {
	/** The change is based on a generation that is not the active one. */
	Stale = 'stale',
	/** No manifest has been applied yet. */
	NoManifest = 'no_manifest',
	/** A batch that is to be reinstated is not recalled. */
	NotRecalled = 'not_recalled',
	/** The head would exceed its size limit. */
	TooLarge = 'too_large',
}

/** A refused change. */
export type ChangeRefusal = {
	readonly code: ChangeRefusalCode;
	readonly message: string;
};

type Head = core.manifest.ManifestHead;
type Change = {readonly changeId: string; readonly madeFrom: core.model.Generation};
type ProposalResult = purify.Either<ChangeRefusal, ChangeProposal>;

/** Proposes new content that is based on the generation `change.madeFrom` (0 for none). Recalled batches stay recalled. */
export function proposeApply(head: Head | undefined, content: manifestContent.ManifestContent, change: Change): ProposalResult {
	const stale = refuseStale(head, change.madeFrom);
	if (stale !== undefined) {
		return purify.Left(stale);
	}

	const known = new Set(head?.sections.map(section => section.hash));
	const encoded = sections.encodeSections(content);
	const next = createNextHead(head, change, {
		sections: encoded.map(({name, hash}) => ({name, hash})),
		recalled: head?.recalled ?? [],
	});
	return refuseTooLarge({head: next, newSections: encoded.filter(section => !known.has(section.hash))});
}

/**
 * Proposes to recall batches, based on any head. It creates a new generation even if all of them are recalled already,
 * so that a reinstatement that is based on an earlier generation is refused as stale.
 */
export function proposeRecall(head: Head | undefined, batches: readonly core.model.BatchKey[], changeId: string): ProposalResult {
	if (head === undefined) {
		return purify.Left(refuseNoManifest());
	}

	const recalled = [...new Set([...head.recalled, ...batches])].sort();
	return refuseTooLarge({
		head: createNextHead(head, {changeId, madeFrom: head.generation}, {sections: head.sections, recalled}),
		newSections: [],
	});
}

/** Proposes to reinstate recalled batches; refused unless the generation `change.madeFrom` is the active one. */
export function proposeReinstate(head: Head | undefined, batches: readonly core.model.BatchKey[], change: Change): ProposalResult {
	const refusal = head === undefined ? refuseNoManifest() : refuseStale(head, change.madeFrom) ?? refuseNotRecalled(head, batches);
	if (head === undefined || refusal !== undefined) {
		return purify.Left(refusal ?? refuseNoManifest());
	}

	const reinstated = new Set(batches);
	const recalled = head.recalled.filter(batch => !reinstated.has(batch));
	return purify.Right({head: createNextHead(head, change, {sections: head.sections, recalled}), newSections: []});
}

function createNextHead(head: Head | undefined, change: Change, body: Pick<Head, 'sections' | 'recalled'>): Head {
	const generation = (head?.generation ?? 0) + 1;
	const recentChanges = [{generation, changeId: change.changeId}, ...head?.recentChanges ?? []].slice(0, maxRecentChanges);
	return {
		generation, ...change, ...body, recentChanges,
	};
}

function refuseStale(head: Head | undefined, madeFrom: core.model.Generation): ChangeRefusal | undefined {
	const currentGeneration = head?.generation ?? 0;
	if (currentGeneration === madeFrom) {
		return undefined;
	}

	const current = head === undefined ? 'no manifest has been applied' : `generation ${currentGeneration} by change ${head.changeId} is active`;
	return {code: ChangeRefusalCode.Stale, message: `based on generation ${madeFrom}, but ${current}`};
}

function refuseNotRecalled(head: Head, batches: readonly core.model.BatchKey[]): ChangeRefusal | undefined {
	const missing = batches.filter(batch => !head.recalled.includes(batch));
	if (missing.length === 0) {
		return undefined;
	}

	return {code: ChangeRefusalCode.NotRecalled, message: `batches are not recalled in generation ${head.generation}: ${missing.join(', ')}`};
}

function refuseTooLarge(proposal: ChangeProposal): ProposalResult {
	const size = headCodec.encodeHead(proposal.head).length;
	if (size <= maxHeadBytes) {
		return purify.Right(proposal);
	}

	return purify.Left({code: ChangeRefusalCode.TooLarge, message: `the manifest head would have ${size} bytes; the limit is ${maxHeadBytes} bytes`});
}

function refuseNoManifest(): ChangeRefusal {
	return {code: ChangeRefusalCode.NoManifest, message: 'no manifest has been applied'};
}
