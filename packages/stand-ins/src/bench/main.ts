import process from 'node:process';
import * as util from 'node:util';
import * as controlSuite from './control-suite.js';
import * as decisionSuite from './decision-suite.js';
import * as gatewaySuite from './gateway-suite.js';
import * as limitSuite from './limit-suite.js';
import * as overheadSuite from './overhead-suite.js';
import * as placementSuite from './placement-suite.js';

const {values} = util.parseArgs({
	options: {
		suite: {type: 'string', default: 'placement'},
		seed: {type: 'string', default: '1'},
		deployment: {type: 'string', default: 'sterrenveld,chaophraya'},
		policies: {type: 'string'},
		loads: {type: 'string', default: '0.5,0.8,0.95'},
		faults: {type: 'string'},
		'fault-policies': {type: 'string', default: 'least_load,cost_based,oracle'},
		capacity: {type: 'string'},
		cost: {type: 'string', default: '{}'},
		'oracle-waste': {type: 'string'},
		out: {type: 'string', default: 'bench-results'},
		sizes: {type: 'string', default: '7,20,40'},
		'warm-up-ms': {type: 'string', default: '3000'},
		'measured-ms': {type: 'string', default: '6000'},
		roots: {type: 'string', default: '.'},
		runs: {type: 'string', default: '5'},
		requests: {type: 'string', default: '300'},
	},
});

const list = (text: string | undefined) => text?.split(',').filter(part => part !== '');

switch (values.suite) {
	case 'placement': {
		await placementSuite.runPlacementSuite({
			seed: Number(values.seed),
			deployments: list(values.deployment)!,
			policies: list(values.policies),
			loads: list(values.loads)!.map(Number),
			faults: list(values.faults),
			faultPolicies: list(values['fault-policies'])!,
			capacity: values.capacity === undefined ? undefined : Number(values.capacity),
			cost: JSON.parse(values.cost) as Record<string, number>,
			oracleWaste: values['oracle-waste'] === undefined ? undefined : Number(values['oracle-waste']),
			outFolder: values.out,
			warmUpMs: Number(values['warm-up-ms']),
			measuredMs: Number(values['measured-ms']),
		});
		break;
	}

	case 'control': {
		await controlSuite.runControlSuite({
			seed: Number(values.seed), sizes: list(values.sizes)!.map(Number), outFolder: values.out,
		});
		break;
	}

	case 'decision': {
		decisionSuite.runDecisionSuite({seed: Number(values.seed), outFolder: values.out});
		break;
	}

	case 'gateway': {
		await gatewaySuite.runGatewaySuite({
			seed: Number(values.seed), roots: list(values.roots)!, runs: Number(values.runs), requests: Number(values.requests), outFolder: values.out,
		});
		break;
	}

	case 'limit': {
		limitSuite.runLimitSuite();
		break;
	}

	case 'overhead': {
		await overheadSuite.runOverheadSuite({seed: Number(values.seed), outFolder: values.out});
		break;
	}

	default: {
		console.error(`unknown suite ${values.suite}`);
		process.exitCode = 2;
	}
}
