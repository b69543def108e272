import * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';
import * as purify from 'purify-ts';

const {OperatorAction: actions, ...limits} = core.quarantine;
const controlCharacters = /\p{Cc}/u;

/** Checks of the fields of an override, and what a field that fails them must be. */
const fieldChecks: ReadonlyMap<keyof core.quarantine.OperatorOverride, {readonly mustBe: string; readonly isValid: (value: unknown) => boolean}> = new Map([
	['part', {mustBe: `a text of 1 to ${limits.maxPartLength} characters`, isValid: value => isText(value, limits.maxPartLength)}],
	['action', {mustBe: Object.values(actions).join(' or '), isValid: value => Object.values(actions).includes(value as core.quarantine.OperatorAction)}],
	['at', {mustBe: 'a time', isValid: value => Number.isSafeInteger(value)}],
	['until', {mustBe: 'a time', isValid: value => Number.isSafeInteger(value)}],
	['by', {mustBe: `a text of 1 to ${limits.maxOperatorLength} characters`, isValid: value => isText(value, limits.maxOperatorLength)}],
	['reason', {mustBe: `a text of 1 to ${limits.maxReasonLength} characters`, isValid: value => isText(value, limits.maxReasonLength)}],
]);

/** Encodes operators' overrides as the value of their key. */
export function encodeOperatorOverrides(overrides: readonly core.quarantine.OperatorOverride[]): Uint8Array {
	return buffer.Buffer.from(JSON.stringify({overrides}));
}

/** Decodes operators' overrides. @returns All findings if an override is invalid; then none is applied. */
export function decodeOperatorOverrides(value: Uint8Array): purify.Either<readonly string[], readonly core.quarantine.OperatorOverride[]> {
	let overrides: unknown;
	try {
		({overrides} = JSON.parse(buffer.Buffer.from(value).toString()) as {readonly overrides?: unknown});
	} catch (err) {
		return purify.Left([String(err)]);
	}

	if (!Array.isArray(overrides) || overrides.length > limits.maxOperatorOverrides) {
		return purify.Left([`overrides must be a list of at most ${limits.maxOperatorOverrides}`]);
	}

	const findings = overrides.flatMap((override, index) => checkOperatorOverride(override as Record<string, unknown>).map(finding => `overrides.${index}.${finding}`));
	return findings.length > 0 ? purify.Left(findings) : purify.Right(overrides as core.quarantine.OperatorOverride[]);
}

/** Returns what is wrong with the fields of an override. */
export function checkOperatorOverride(override: unknown): string[] {
	const fields = (override ?? {}) as Record<string, unknown>;
	return [...fieldChecks].filter(([field, {isValid}]) => !isValid(fields[field])).map(([field, {mustBe}]) => `${field} must be ${mustBe}`);
}

function isText(value: unknown, maxLength: number): boolean {
	return typeof value === 'string' && value.trim().length > 0 && value.length <= maxLength && !controlCharacters.test(value);
}
