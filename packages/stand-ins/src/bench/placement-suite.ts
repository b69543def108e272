import * as fs from 'node:fs';
import path from 'node:path';
import * as core from '@bluebellmast/core';
import * as deploymentProfile from './deployment-profile.js';
import * as placementRun from './placement-run.js';
import * as placementRunOptions from './placement-run-options.js';
import * as resultPage from './result-page.js';
import type * as runResult from './run-result.js';

/** Options of the placement suite. */
export type PlacementSuiteOptions = {
	readonly seed: number;
	readonly deployments: readonly string[];
	/** Policies to run without faults; default: all and the oracle. */
	readonly policies: readonly string[] | undefined;
	/** Request rates as shares of the capacity. */
	readonly loads: readonly number[];
	/** Faults to inject at 80% of the capacity; default: all. */
	readonly faults: readonly string[] | undefined;
	readonly faultPolicies: readonly string[];
	/** Capacity in requests per second; default: measured in a closed loop with the oracle. */
	readonly capacity: number | undefined;
	/** Overrides of the deployment's cost weights. */
	readonly cost: Partial<core.placement.CostWeights>;
	/** Override of the deployment's `oracleWaste`. */
	readonly oracleWaste: number | undefined;
	readonly outFolder: string;
	readonly warmUpMs: number;
	readonly measuredMs: number;
};

const faultLoad = 0.8;

/** Runs all policies under the same loads and faults, prints one line per run, and writes the results as JSON and HTML. */
export async function runPlacementSuite(options: PlacementSuiteOptions): Promise<void> {
	for (const name of options.deployments) {
		const profile = deploymentProfile.deploymentProfiles.find(entry => entry.name === name);
		if (profile === undefined) {
			throw new Error(`unknown deployment ${name}`);
		}

		const deployment = {
			...profile,
			cost: {...profile.cost, ...options.cost},
			oracleWaste: options.oracleWaste ?? profile.oracleWaste,
		};
		const results = await runDeployment(deployment, options); // eslint-disable-line no-await-in-loop
		fs.mkdirSync(options.outFolder, {recursive: true});
		const base = path.join(options.outFolder, `placement-${name}-${options.seed}`);
		fs.writeFileSync(`${base}.json`, `${JSON.stringify(results, undefined, '\t')}\n`);
		fs.writeFileSync(`${base}.html`, resultPage.renderPage(results));
	}
}

async function runDeployment(
	deployment: deploymentProfile.DeploymentProfile,
	options: PlacementSuiteOptions,
): Promise<runResult.RunResult[]> {
	const policies = options.policies ?? [...Object.values(core.placement.PlacementPolicyName), placementRunOptions.oracleName];
	const faults = options.faults ?? Object.values(placementRunOptions.BenchFault).filter(fault => fault !== placementRunOptions.BenchFault.None);
	const results: runResult.RunResult[] = [];
	const run = async (policy: string, load: number, fault: string, requestsPerSecond: number) => {
		const result = await new placementRun.PlacementRun({
			deployment,
			policy,
			load,
			requestsPerSecond,
			fault: fault as placementRunOptions.BenchFault,
			seed: options.seed,
			warmUpMs: options.warmUpMs,
			measuredMs: options.measuredMs,
		}).run();
		results.push(result);
		console.log(formatLine(result));
		return result;
	};

	const measureCapacity = async () => {
		const result = await run(placementRunOptions.oracleName, 0, placementRunOptions.BenchFault.None, 0);
		return result.answeredPerSecond;
	};

	const capacity = options.capacity ?? await measureCapacity();
	for (const load of options.loads) {
		for (const policy of policies) {
			await run(policy, load, placementRunOptions.BenchFault.None, capacity * load); // eslint-disable-line no-await-in-loop
		}
	}

	for (const fault of faults) {
		for (const policy of options.faultPolicies) {
			await run(policy, faultLoad, fault, capacity * faultLoad); // eslint-disable-line no-await-in-loop
		}
	}

	return results;
}

function formatLine(result: runResult.RunResult): string {
	return [
		result.deployment,
		result.policy.padEnd(22),
		result.load.toFixed(2),
		result.fault.padEnd(16),
		`${result.requestsPerSecond.toFixed(0)}/s`,
		`answered ${result.answered}/${result.requests}`,
		`retries ${result.retries}`,
		`hit ${(result.hitRate * 100).toFixed(1)}%`,
		`ttft ${result.firstTokenP50Ms}/${result.firstTokenP95Ms}/${result.firstTokenP99Ms} ms`,
		`wasted ${result.wastedTokensPerRequest.toFixed(0)} tokens/req`,
	].join('  ');
}
