
/** Whether a batch is a version of a model or of an adapter. */
export enum BatchKind {
	Model = 'model',
	Adapter = 'adapter',
}

/** One version of a model or adapter: the unit of roll-outs and recalls. */
export type Batch = {
	readonly kind: BatchKind;
	readonly id: string;
	readonly version: string;
};

/** Text form of a batch: `model:<id>@<version>` or `adapter:<id>@<version>`. */
export type BatchKey = string;

/** Returns the text form of a batch. */
export function formatBatch(batch: Batch): BatchKey {
	return `${batch.kind}:${batch.id}@${batch.version}`;
}

const batchPattern = /^(model|adapter):([^@:\s]+)@([^@\s]+)$/;

/** Parses the text form of a batch. Returns `undefined` when it is malformed. */
export function parseBatch(text: string): Batch | undefined {
	const match = batchPattern.exec(text);
	if (!match) {
		return undefined;
	}

	return {kind: match[1] as BatchKind, id: match[2]!, version: match[3]!};
}
