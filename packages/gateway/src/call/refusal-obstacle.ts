import * as core from '@bluebellmast/core';
import * as refusals from './refusal.js';

/** Why a request is not sent again, by the refusal that it would have got if no response had begun. */
const obstaclesByRefusal: ReadonlyMap<refusals.RefusalCode, core.log.RetryObstacle> = new Map([
	[refusals.RefusalCode.CallerDisconnected, core.log.RetryObstacle.CallerDisconnected],
	[refusals.RefusalCode.DeadlineTooClose, core.log.RetryObstacle.DeadlinePassed],
	[refusals.RefusalCode.PartQuarantined, core.log.RetryObstacle.PartQuarantined],
	[refusals.RefusalCode.QuotaExceeded, core.log.RetryObstacle.QuotaUsed],
	[refusals.RefusalCode.QuotaTooSmall, core.log.RetryObstacle.QuotaUsed],
	[refusals.RefusalCode.QuotaUnavailable, core.log.RetryObstacle.QuotaUsed],
	[refusals.RefusalCode.ConfigUnavailable, core.log.RetryObstacle.NotAuthorized],
]);

/** Returns why a request is not sent again, for the log; the pool has no endpoint that could take it, unless the refusal says otherwise. */
export function getObstacle({code}: refusals.Refusal): core.log.RetryObstacle {
	return obstaclesByRefusal.get(code) ?? core.log.RetryObstacle.NoEndpoint;
}
