import * as model from '../model/index.js';
import * as request from '../request/index.js';
import * as ledgerVerdict from './ledger-verdict.js';

type RefusingVerdict = Exclude<
	ledgerVerdict.VerdictType,
	ledgerVerdict.VerdictType.Proceed | ledgerVerdict.VerdictType.Settled | ledgerVerdict.VerdictType.Missing
>;

type RefusalParts = {
	readonly code: model.ErrorCode;
	readonly priorExecution: request.PriorExecution;
	readonly message: string;
};

const refusalPartsByVerdict: Readonly<Record<RefusingVerdict, RefusalParts>> = {
	[ledgerVerdict.VerdictType.Replay]: {
		code: model.ErrorCode.OutcomeUnknown,
		priorExecution: request.PriorExecution.Done,
		message: 'A request with this idempotency key was carried out; its answer was not kept.',
	},
	[ledgerVerdict.VerdictType.InProgress]: {
		code: model.ErrorCode.InProgress,
		priorExecution: request.PriorExecution.Possible,
		message: 'The same request is under way.',
	},
	[ledgerVerdict.VerdictType.OutcomeUnknown]: {
		code: model.ErrorCode.OutcomeUnknown,
		priorExecution: request.PriorExecution.Possible,
		message: 'An earlier request with this idempotency key may have been carried out; it is never run again.',
	},
	[ledgerVerdict.VerdictType.KeyReused]: {
		code: model.ErrorCode.IdempotencyKeyReused,
		priorExecution: request.PriorExecution.None,
		message: 'The idempotency key was used with another request.',
	},
	[ledgerVerdict.VerdictType.Full]: {
		code: model.ErrorCode.LedgerUnavailable,
		priorExecution: request.PriorExecution.None,
		message: 'The ledger has no room for the intent at present.',
	},
	[ledgerVerdict.VerdictType.Withdrawn]: {
		code: model.ErrorCode.LedgerUnavailable,
		priorExecution: request.PriorExecution.None,
		message: 'The intent was withdrawn.',
	},
	[ledgerVerdict.VerdictType.Unavailable]: {
		code: model.ErrorCode.LedgerUnavailable,
		priorExecution: request.PriorExecution.None,
		message: 'The intent could not be recorded in time.',
	},
	[ledgerVerdict.VerdictType.IssuerUnreachable]: {
		code: model.ErrorCode.LedgerUnavailable,
		priorExecution: request.PriorExecution.Possible,
		message: 'The router that issued the idempotency key cannot be reached at present.',
	},
	[ledgerVerdict.VerdictType.Expired]: {
		code: model.ErrorCode.InvalidRequest,
		priorExecution: request.PriorExecution.None,
		message: 'The issued idempotency key is not valid now and was never used.',
	},
};

/** Creates the refusal of a request that the verdict does not allow to be sent. */
export function createVerdictRefusal(type: ledgerVerdict.VerdictType, retryAfterMs?: number): model.Refusal {
	const refusalParts = refusalPartsByVerdict[type as RefusingVerdict] ?? refusalPartsByVerdict[ledgerVerdict.VerdictType.OutcomeUnknown];
	const {code, priorExecution, message} = refusalParts;
	return request.createRefusal(code, [], {message, priorExecution, ...(retryAfterMs !== undefined && {retryAfterMs})});
}
