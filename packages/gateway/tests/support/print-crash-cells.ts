// Prints cells of the table of decision 10, one for each scenario on the command line, a JSON object:
// node --import=tsx packages/gateway/tests/support/print-crash-cells.ts '{"vmCount":66,"endpointCount":80,"isQuarantined":false}'
import process from 'node:process';
import * as runCrashScenario from './run-crash-scenario.js';
import type * as simulatedCrashes from './simulated-crashes.js';

const bytesPerKilobyte = 1000;

for (const text of process.argv.slice(2)) {
	const scenario = JSON.parse(text) as Partial<simulatedCrashes.CrashScenario>;
	const startedAt = Date.now();
	const {
		ends, sentAfter, lastVmRefusesAt, soundRefusals, sound, evidenceBytes, refusingVms, wrongParts,
	} = await runCrashScenario.runCrashScenario(scenario); // eslint-disable-line no-await-in-loop -- One run at a time.
	const refusesMs = Math.round(lastVmRefusesAt - ends[0]!);
	const kilobytes = evidenceBytes / bytesPerKilobyte / (scenario.vmCount ?? 1);
	console.log(`${text}: ${ends.length} / ${sentAfter} / ${refusesMs} / ${soundRefusals.length} of ${sound} sound,`
		+ ` ${kilobytes.toFixed(1)} KB a VM, wrong parts: ${wrongParts.length}, ${refusingVms} VMs refuse, ${Date.now() - startedAt} ms`);
}
