import type * as core from '@bluebellmast/core';

/** A problem in a file, with its location. */
export type FileFinding = {
	/** File name as the operator passed it. */
	readonly file: string;
	/** Line, from 1. */
	readonly line: number;
	/** Column, from 1. */
	readonly column: number;
	readonly message: string;
};

/** Returns `file:line:column: message`. */
export function formatFinding(finding: FileFinding): string {
	return `${formatLocation(finding)}: ${finding.message}`;
}

/** Converts a finding to the form that is used in HTTP responses. */
export function toModelFinding(finding: FileFinding): core.model.Finding {
	return {place: formatLocation(finding), message: finding.message};
}

/** Returns the findings ordered by line and column. */
export function sortFindings(findings: readonly FileFinding[]): FileFinding[] {
	return [...findings].sort((a, b) => a.line - b.line || a.column - b.column);
}

function formatLocation(finding: FileFinding): string {
	return `${finding.file}:${finding.line}:${finding.column}`;
}
