import type * as check from '../check/index.js';
import * as deployment from '../deployment/index.js';
import * as util from '../util/index.js';

/** Version that is rolled out. */
const newVersion = '2';
/** Version that is recalled after the rollout. */
const oldVersion = '1';
/** Milliseconds after its acceptance within which every router has to enforce a recall. */
const maxRecallMs = 8000;
const retryMs = 500;

/** Simulated operator who rolls out a new version and then recalls the old one; retries each change until it is accepted. */
export class Operator {
	readonly recalls: check.RecallRecord[] = [];

	constructor(private readonly deployment: deployment.LocalDeployment, private readonly print: (line: string) => void) {}

	/** Makes both changes during a run of `durationMs`. */
	async run(durationMs: number): Promise<void> {
		await util.sleep(durationMs / 3);
		const manifest = this.deployment.writeManifest('forward.yaml', [newVersion, oldVersion]);
		await this.#retryUntilAccepted('apply', manifest, '--change-id', 'soak-forward');
		await util.sleep(durationMs / 6);
		await this.#retryUntilAccepted('recall', `model:${deployment.modelName}@${oldVersion}`, '--change-id', 'soak-recall');
		this.recalls.push({
			weights: `${deployment.modelName}@${oldVersion}`, effectiveAt: Date.now() + maxRecallMs,
		});
	}

	async #retryUntilAccepted(command: string, ...args: string[]): Promise<void> {
		let code = -1;
		while (code !== 0) {
			code = await this.deployment.tryRunCtl(command, '--kv', this.deployment.kvUrl, ...args); // eslint-disable-line no-await-in-loop
			this.print(`${command} exited with code ${code}`);
			await util.sleep(code === 0 ? 0 : retryMs); // eslint-disable-line no-await-in-loop
		}
	}
}
