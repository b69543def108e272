import type * as check from '../check/index.js';
import * as deployment from '../deployment/index.js';
import * as util from '../util/index.js';

/** Version that the run rolls forward to. */
const newVersion = '2';
/** Version that is recalled. */
const oldVersion = '1';
/** Milliseconds after its acceptance within which a recall has to be in force everywhere. */
const maxRecallMs = 8000;
const retryMs = 500;

/** Rolls forward to a new version and then recalls the old one, however often a change has to be tried. */
export class Operator {
	readonly recalls: check.RecallRecord[] = [];

	constructor(private readonly local: deployment.LocalDeployment, private readonly print: (line: string) => void) {}

	/** Makes both changes in the course of a run. */
	async run(durationMs: number): Promise<void> {
		await util.sleep(durationMs / 3);
		const manifest = this.local.writeManifest('forward.yaml', [newVersion, oldVersion]);
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
			code = await this.local.tryRunCtl(command, '--kv', this.local.kvUrl, ...args); // eslint-disable-line no-await-in-loop
			this.print(`${command} ended with code ${code}`);
			await util.sleep(code === 0 ? 0 : retryMs); // eslint-disable-line no-await-in-loop
		}
	}
}
