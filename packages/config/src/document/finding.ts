import type * as core from '@bluebellmast/core';

/** One thing that is wrong with a file, with its place. */
export type FileFinding = {
	/** Name of the file as the operator gave it. */
	readonly file: string;
	/** Counted from 1. */
	readonly line: number;
	/** Counted from 1. */
	readonly column: number;
	readonly message: string;
};

/** Returns `file:line:column: message`. */
export function formatFinding(finding: FileFinding): string {
	return `${formatLocation(finding)}: ${finding.message}`;
}

/** Returns the finding in the form that answers over HTTP use. */
export function toModelFinding(finding: FileFinding): core.model.Finding {
	return {place: formatLocation(finding), message: finding.message};
}

/** Returns the findings in order of their place. */
export function sortFindings(findings: readonly FileFinding[]): FileFinding[] {
	return [...findings].sort((a, b) => a.line - b.line || a.column - b.column);
}

function formatLocation(finding: FileFinding): string {
	return `${finding.file}:${finding.line}:${finding.column}`;
}
