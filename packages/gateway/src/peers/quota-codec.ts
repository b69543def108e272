import type * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';
import * as cbor from 'cbor-x';
import * as rows from './rows.js';

/** A message between a VM and a keeper of accounts. */
export type QuotaMessage =
	| {readonly type: core.quota.QuotaMessageType.Call; readonly call: core.quota.QuotaCall}
	| {readonly type: core.quota.QuotaMessageType.Reply; readonly reply: core.quota.QuotaReply};

/** Encoded clock reading: incarnation, milliseconds. */
type ClockRow = readonly [string, number];
/** Encoded loan: partitions, share, duration in milliseconds. */
type LoanRow = readonly [readonly number[], number, number];
/** Encoded ask: id, account, units. */
type AskRow = readonly [number, string, number];
/** Encoded units that are given back: account, units. */
type ReturnedRow = readonly [string, number];
/** Encoded decision: id of the ask, outcome, milliseconds until the request would fit (negative if it never does), available units, held share, usage. */
type DecisionRow = readonly [number, core.quota.QuotaOutcome, number, number, number, number];

type CallMessage = readonly [
	type: core.quota.QuotaMessageType.Call, vm: string, clock: ClockRow | undefined, loan: LoanRow | undefined, asks: readonly AskRow[], returned: readonly ReturnedRow[],
];
type ReplyMessage = readonly [type: core.quota.QuotaMessageType.Reply, vm: string, clock: ClockRow, takesLoans: boolean, decisions: readonly DecisionRow[]];

/** Longest loan that is accepted, in milliseconds; those of the largest fleet take some seconds. */
const maxLoanMs = 30_000;
const neverMs = -1;
const outcomes: ReadonlySet<unknown> = new Set(Object.values(core.quota.QuotaOutcome));

/** Encodes a message as one datagram. */
export function encodeQuotaMessage(message: QuotaMessage): buffer.Buffer {
	return cbor.encode(message.type === core.quota.QuotaMessageType.Call ? toCallRow(message.call) : toReplyRow(message.reply));
}

/** Converts a decoded datagram; returns `undefined` if it is no such message. */
export function toQuotaMessage(message: unknown): QuotaMessage | undefined {
	if (isCall(message)) {
		return {type: core.quota.QuotaMessageType.Call, call: toCall(message)};
	}

	return isReply(message) ? {type: core.quota.QuotaMessageType.Reply, reply: toReply(message)} : undefined;
}

function isCall(message: unknown): message is CallMessage {
	return Array.isArray(message) && message[0] === core.quota.QuotaMessageType.Call && typeof message[1] === 'string'
		&& rows.isRows(message[4], ['number', 'string', 'number']) && rows.isRows(message[5], ['string', 'number']);
}

function isReply(message: unknown): message is ReplyMessage {
	return Array.isArray(message) && message[0] === core.quota.QuotaMessageType.Reply && typeof message[1] === 'string' && isClock(message[2])
		&& typeof message[3] === 'boolean' && rows.isRows(message[4], ['number', 'string', 'number', 'number', 'number', 'number']);
}

function isClock(row: unknown): row is ClockRow {
	return rows.isRows([row], ['string', 'number']) && Number.isFinite((row as ClockRow)[1]);
}

function isLoan(row: unknown): row is LoanRow {
	if (!rows.isRows([row], ['object', 'number', 'number'])) {
		return false;
	}

	const [partitions, share, durationMs] = row as LoanRow;
	return Array.isArray(partitions) && partitions.every(partition => Number.isInteger(partition) && partition >= 0 && partition < core.quota.partitionIdLimit)
		&& share > 0 && share <= 1 && durationMs > 0 && durationMs <= maxLoanMs;
}

function isAmount(units: number): boolean {
	return Number.isFinite(units) && units >= 0;
}

function toCallRow({vm, basedOn, loan, asks, returned}: core.quota.QuotaCall): CallMessage {
	return [
		core.quota.QuotaMessageType.Call,
		vm,
		basedOn && [basedOn.incarnation, basedOn.at],
		loan && [loan.partitions, loan.share, loan.durationMs],
		asks.map(ask => [ask.id, ask.account, ask.units]),
		returned.map(item => [item.account, item.units]),
	];
}

function toCall([_type, vm, basedOn, loan, asks, returned]: CallMessage): core.quota.QuotaCall {
	return {
		vm,
		...(isClock(basedOn) && {basedOn: {incarnation: basedOn[0], at: basedOn[1]}}),
		...(isLoan(loan) && {loan: {partitions: loan[0], share: loan[1], durationMs: loan[2]}}),
		asks: asks.filter(([_id, _account, units]) => isAmount(units)).map(([id, account, units]) => ({id, account, units})),
		returned: returned.filter(([, units]) => isAmount(units)).map(([account, units]) => ({account, units})),
	};
}

function toReplyRow({vm, clock, takesLoans, decisions}: core.quota.QuotaReply): ReplyMessage {
	return [
		core.quota.QuotaMessageType.Reply,
		vm,
		[clock.incarnation, clock.at],
		takesLoans,
		decisions.map(({id, decision: {outcome, retryAfterMs, availableUnits, heldShare, usage}}) => [
			id, outcome, Number.isFinite(retryAfterMs) ? retryAfterMs : neverMs, availableUnits, heldShare, usage,
		]),
	];
}

function toReply([_type, vm, [incarnation, at], takesLoans, decisions]: ReplyMessage): core.quota.QuotaReply {
	return {
		vm,
		clock: {incarnation, at},
		takesLoans,
		decisions: decisions.filter(([, outcome]) => outcomes.has(outcome)).map(([id, outcome, retryAfterMs, availableUnits, heldShare, usage]) => ({
			id, decision: {
				outcome, retryAfterMs: retryAfterMs < 0 ? Infinity : retryAfterMs, availableUnits, heldShare, usage,
			},
		})),
	};
}
