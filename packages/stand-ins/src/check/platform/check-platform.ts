import * as answerCheck from './answer-check.js';
import * as configCheck from './config-check.js';
import * as crashingPartCheck from './crashing-part-check.js';
import * as drainCheck from './drain-check.js';
import * as endCheck from './end-check.js';
import * as executionCheck from './execution-check.js';
import * as goneCheck from './gone-check.js';
import * as lossCheck from './loss-check.js';
import * as passedDeadlineCheck from './passed-deadline-check.js';
import type * as records from './platform-records.js';
import * as quotaCheck from './quota-check.js';
import * as retryCheck from './retry-check.js';
import * as rolloutCheck from './rollout-check.js';
import * as serviceCheck from './service-check.js';
import * as versionCheck from './version-check.js';

/** Checks that hold at every moment of a run. */
const checks = [
	answerCheck.checkAnswers,
	executionCheck.checkExecutions,
	passedDeadlineCheck.checkPassedDeadlines,
	versionCheck.checkVersions,
	rolloutCheck.checkOrders,
	rolloutCheck.checkFinalVersions,
	configCheck.checkConfigs,
	drainCheck.checkDrains,
	crashingPartCheck.checkCrashingParts,
	endCheck.checkDeadlines,
	goneCheck.checkGone,
	retryCheck.checkRetryBudget,
	quotaCheck.checkQuotas,
	lossCheck.checkPlannedStops,
	lossCheck.checkLostResponses,
	lossCheck.checkChangeLosses,
	lossCheck.checkBlocks,
	serviceCheck.checkProcesses,
	serviceCheck.checkReadiness,
	serviceCheck.checkReadinessAfterStops,
	serviceCheck.checkRecovery,
];

/** Runs all checks on the record of a run; returns the findings. */
export function checkPlatform(record: records.PlatformRecord): records.Finding[] {
	return checks.flatMap(check => check(record));
}
