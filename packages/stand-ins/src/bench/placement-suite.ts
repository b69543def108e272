import * as fs from 'node:fs';
import path from 'node:path';
import * as core from '@bluebellmast/core';
import * as deploymentProfile from './deployment-profile.js';
import * as placementRun from './placement-run.js';
import * as runOptions from './placement-run-options.js';
import * as resultPage from './result-page.js';
import type * as runResult from './run-result.js';

/** Options of the suite. */
export type PlacementSuiteOptions = {
	readonly seed: number;
	readonly deployments: readonly string[];
	/** Default: all, with the oracle. */
	readonly policies: readonly string[] | undefined;
	/** Shares of the capacity. */
	readonly loads: readonly number[];
	/** Faults at 80% of the capacity. Default: all. */
	readonly faults: readonly string[] | undefined;
	readonly faultPolicies: readonly string[];
	/** Requests a second; default: measured first. */
	readonly capacity: number | undefined;
	/** Weights of costs in place of the deployment's. */
	readonly cost: Partial<core.placement.CostWeights>;
	/** The oracle's weight of waste in place of the deployment's. */
	readonly oracleWaste: number | undefined;
	readonly outFolder: string;
	readonly warmUpMs: number;
	readonly measuredMs: number;
};

const faultLoad = 0.8;

/** Runs all policies under the same loads and faults, prints one line a run, and writes JSON and a page. */
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
	const policies = options.policies ?? [...Object.values(core.placement.PlacementPolicyName), runOptions.oracleName];
	const faults = options.faults ?? Object.values(runOptions.BenchFault).filter(fault => fault !== runOptions.BenchFault.None);
	const results: runResult.RunResult[] = [];
	const run = async (policy: string, load: number, fault: string, requestsPerSecond: number) => {
		const result = await new placementRun.PlacementRun({
			deployment,
			policy,
			load,
			requestsPerSecond,
			fault: fault as runOptions.BenchFault,
			seed: options.seed,
			warmUpMs: options.warmUpMs,
			measuredMs: options.measuredMs,
		}).run();
		results.push(result);
		console.log(formatLine(result));
		return result;
	};

	const measureCapacity = async () => {
		const result = await run(runOptions.oracleName, 0, runOptions.BenchFault.None, 0);
		return result.answeredPerSecond;
	};

	const capacity = options.capacity ?? await measureCapacity();
	for (const load of options.loads) {
		for (const policy of policies) {
			await run(policy, load, runOptions.BenchFault.None, capacity * load); // eslint-disable-line no-await-in-loop
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
