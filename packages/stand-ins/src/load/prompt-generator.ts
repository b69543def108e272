import type * as wire from '@bluebellmast/wire';
import type * as util from '../util/index.js';
import type * as loadOptions from './load-options.js';

/** Exponent of the Zipf distribution of plans, sites and accounts. */
const popularityExponent = 1.1;
/** Number of ranks by which the popularity of plans and sites moves at each hot spot shift. */
const hotSpotShiftRanks = 3;

/** Generates prompts with nested shared prefixes: first the plan, then the site, then a question that no other prompt has. */
export class PromptGenerator {
	readonly #texts = new Map<string, string>();
	#questionCount = 0;

	constructor(private readonly settings: loadOptions.LoadSettings, private readonly random: util.Random) {}

	/** Generates the prompt of a request that arrives `elapsedMs` after the start of the run. */
	next(elapsedMs: number): wire.endpoint.ChatMessage[] {
		const {plans, planPieces, sites, hotSpotShiftMs} = this.settings;
		const shift = Math.floor(elapsedMs / hotSpotShiftMs) * hotSpotShiftRanks;
		const plan = (pickByRank(this.random, plans) + shift) % plans;
		const site = (pickByRank(this.random, sites) + shift) % sites;
		this.#questionCount += 1;
		return [
			{role: 'system', content: this.#createText(`plan ${plan}`, planPieces)},
			{role: 'system', content: this.#createText(`plan ${plan} site ${site}`, 1)},
			{role: 'user', content: `question ${this.settings.seed}-${this.#questionCount}`},
		];
	}

	#createText(name: string, pieces: number): string {
		const existing = this.#texts.get(name);
		if (existing !== undefined) {
			return existing;
		}

		const length = Math.round(pieces * this.settings.pieceTokens * this.settings.charsPerToken);
		const text = `${name}, `.repeat(Math.ceil(length / name.length)).slice(0, length);
		this.#texts.set(name, text);
		return text;
	}
}

/** Draws a rank from 0 to `count - 1` from a Zipf distribution; smaller ranks are more likely. */
export function pickByRank(random: util.Random, count: number): number {
	const weights = Array.from({length: count}, (_, rank) => (rank + 1) ** -popularityExponent);
	let remaining = random.fraction() * weights.reduce((sum, weight) => sum + weight, 0);
	const rank = weights.findIndex(weight => {
		remaining -= weight;
		return remaining < 0;
	});
	return rank === -1 ? count - 1 : rank;
}
