import * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';
import * as purify from 'purify-ts';

const {OperatorAction: actions, ...limits} = core.quarantine;
const controlCharacters = /\p{Cc}/u;

/** Checks of the fields of a word, and what a field that fails them must be. */
const fieldChecks: ReadonlyMap<keyof core.quarantine.OperatorWord, {readonly mustBe: string; readonly isValid: (value: unknown) => boolean}> = new Map([
	['part', {mustBe: `a text of 1 to ${limits.maxPartLength} characters`, isValid: value => isText(value, limits.maxPartLength)}],
	['action', {mustBe: Object.values(actions).join(' or '), isValid: value => Object.values(actions).includes(value as core.quarantine.OperatorAction)}],
	['at', {mustBe: 'a time', isValid: value => Number.isSafeInteger(value)}],
	['until', {mustBe: 'a time', isValid: value => Number.isSafeInteger(value)}],
	['by', {mustBe: `a text of 1 to ${limits.maxOperatorLength} characters`, isValid: value => isText(value, limits.maxOperatorLength)}],
	['reason', {mustBe: `a text of 1 to ${limits.maxReasonLength} characters`, isValid: value => isText(value, limits.maxReasonLength)}],
]);

/** Encodes operators' words as the value of their key. */
export function encodeOperatorWords(words: readonly core.quarantine.OperatorWord[]): Uint8Array {
	return buffer.Buffer.from(JSON.stringify({words}));
}

/** Decodes operators' words; returns all findings if a word is invalid, since half of what operators said is not what they said. */
export function decodeOperatorWords(value: Uint8Array): purify.Either<readonly string[], readonly core.quarantine.OperatorWord[]> {
	let words: unknown;
	try {
		({words} = JSON.parse(buffer.Buffer.from(value).toString()) as {readonly words?: unknown});
	} catch (err) {
		return purify.Left([String(err)]);
	}

	if (!Array.isArray(words) || words.length > limits.maxOperatorWords) {
		return purify.Left([`words must be a list of at most ${limits.maxOperatorWords}`]);
	}

	const findings = words.flatMap((word, index) => checkOperatorWord(word as Record<string, unknown>).map(finding => `words.${index}.${finding}`));
	return findings.length > 0 ? purify.Left(findings) : purify.Right(words as core.quarantine.OperatorWord[]);
}

/** Returns what is wrong with the fields of a word. */
export function checkOperatorWord(word: unknown): string[] {
	const fields = (word ?? {}) as Record<string, unknown>;
	return [...fieldChecks].filter(([field, {isValid}]) => !isValid(fields[field])).map(([field, {mustBe}]) => `${field} must be ${mustBe}`);
}

function isText(value: unknown, maxLength: number): boolean {
	return typeof value === 'string' && value.trim().length > 0 && value.length <= maxLength && !controlCharacters.test(value);
}
