import * as chai from 'chai';
import * as support from '../support/fleet.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;

/** Requests of one kind: a short first part, a part for each subject, and a part of the request's own. */
type Kind = {
	readonly name: string;
	readonly perSecond: number;
	readonly firstParts: number;
	readonly subjects: number;
	readonly firstTokens: number;
	readonly subjectTokens: number;
	readonly ownTokens: number;
};

const kinds: readonly Kind[] = [
	{
		name: 'long', perSecond: 10, firstParts: 3, subjects: 77, firstTokens: 512, subjectTokens: 4870, ownTokens: 6610,
	},
	{
		name: 'short', perSecond: 40, firstParts: 40, subjects: 454, firstTokens: 341, subjectTokens: 227, ownTokens: 1800,
	},
];
/** VMs and engines, without a cache store. */
const site = {
	vms: 9, engines: 6, seconds: 40, engineMemoryTokens: 241_000, responseMs: 800, observationDelayMs: 20,
};
/** Share of the tokens found cached that may be computed a second time while some engine has them cached. */
const maxRecomputedShare = 0.1;

type CachedPart = {readonly tokens: number; usedAt: number};

/** Cache of an engine that evicts the least recently used parts. */
class EngineCache {
	readonly #parts = new Map<string, CachedPart>();

	has(key: string): boolean {
		return this.#parts.has(key);
	}

	use(key: string, tokens: number, now: number): void {
		this.#parts.set(key, {tokens, usedAt: now});
		let total = [...this.#parts.values()].reduce((sum, part) => sum + part.tokens, 0);
		const byAge = [...this.#parts].sort(([, a], [, b]) => a.usedAt - b.usedAt);
		for (const [oldest, part] of byAge) {
			if (total <= site.engineMemoryTokens) {
				break;
			}

			this.#parts.delete(oldest);
			total -= part.tokens;
		}
	}
}

type Event = {readonly at: number; readonly run: () => void};

type Outcome = {
	/** Tokens of shared parts that the chosen engine had cached. */
	found: number;
	/** Tokens of shared parts that the chosen engine computed while another engine had them cached. */
	recomputed: number;
};

/** Places the requests of one minute, with observations that reach all VMs late. */
function play(seed: number): Outcome {
	const random = new core.util.SeededRandom(seed);
	const views = Array.from({length: site.vms}, () => support.createView());
	const caches = new Map(Array.from({length: site.engines}, (_, index) => [`engine-${index}`, new EngineCache()]));
	const candidates = [...caches.keys()].map(id => support.createCandidate(id));
	const outcome: Outcome = {found: 0, recomputed: 0};
	const events: Event[] = [];
	const schedule = (at: number, run: () => void): void => {
		const index = events.findIndex(event => event.at > at);
		events.splice(index === -1 ? events.length : index, 0, {at, run});
	};

	const place = (kind: Kind, number: number, now: number): void => {
		const subject = random.int(kind.subjects);
		const parts = [
			{id: `${kind.name}-first-${subject % kind.firstParts}`, tokens: kind.firstTokens},
			{id: `${kind.name}-${subject}`, tokens: kind.subjectTokens},
			{id: `${kind.name}-own-${number}`, tokens: kind.ownTokens},
		];
		const attempt = `${kind.name}-${number}`;
		const view = views[number % site.vms]!;
		const choice = core.fleet.chooseEndpoint(candidates, {dataCentre: 'dc-a', parts, sharedParts: 2}, view, now)!;
		const engine = choice.candidate.entry.id;
		const cache = caches.get(engine)!;
		for (const part of parts.slice(0, 2)) {
			const isElsewhere = [...caches.values()].some(other => other.has(part.id));
			outcome.found += cache.has(part.id) ? part.tokens : 0;
			outcome.recomputed += !cache.has(part.id) && isElsewhere ? part.tokens : 0;
		}

		for (const part of parts) {
			cache.use(part.id, part.tokens, now);
		}

		view.loads.addRequest(engine, attempt, choice.prefillTokens);
		schedule(now + (choice.prefillTokens / view.costs.prefillTokensPerMs), () => {
			view.loads.endPrefill(engine, attempt);
		});
		schedule(now + site.responseMs, () => {
			view.loads.removeRequest(engine, attempt);
		});
		schedule(now + site.observationDelayMs, () => {
			for (const {key} of core.fleet.listSharedPrefixes('n', parts, 2)) {
				for (const other of views) {
					other.parts.applyObservation({type: core.fleet.CacheObservationType.Sent, key, endpoint: engine}, now);
				}
			}
		});
	};

	for (const kind of kinds) {
		for (let number = 0; number < kind.perSecond * site.seconds; number++) {
			const at = (number + (random.int(1000) / 1000)) * 1000 / kind.perSecond;
			schedule(at, () => {
				place(kind, number, at);
			});
		}
	}

	for (let event = events.shift(); event !== undefined; event = events.shift()) {
		event.run();
	}

	return outcome;
}

describe('placement of prompts with a short first and a long second shared part', () => {
	const parts = [{id: 'rules', tokens: 200}, {id: 'brief', tokens: 4870}, {id: 'own', tokens: 1800}];
	const requirements: core.fleet.PlacementRequirements = {dataCentre: 'dc-a', parts, sharedParts: 2};
	const engines = ['a', 'b', 'c', 'd'].map(id => support.createCandidate(id));

	// Nothing is known of a part that is too short to be tracked, which must not hide the long part after it.
	it('finds the engine that has the long part cached', () => {
		for (const {entry} of engines) {
			const view = support.createView();
			view.parts.applyObservation({type: core.fleet.CacheObservationType.Sent, key: 'n/brief', endpoint: entry.id}, 900);
			const choice = core.fleet.chooseEndpoint(engines, requirements, view, 1000)!;
			expect(choice.candidate.entry.id).to.equal(entry.id);
			expect(choice.prefillTokens).to.equal(1800);
		}
	});

	it('spreads prompts with the same first part over the engines', () => {
		const homes = new Set(Array.from({length: 40}, (_, index) => {
			const subject = [parts[0]!, {id: `brief-${index}`, tokens: 4870}, parts[2]!];
			return core.fleet.chooseEndpoint(engines, {...requirements, parts: subject}, support.createView(), 1000)!.candidate.entry.id;
		}));
		expect(homes.size).to.equal(engines.length);
	});

	for (const seed of [1, 2, 3]) {
		it(`computes little again that an engine has cached (seed ${seed})`, () => {
			const {found, recomputed} = play(seed);
			expect(found).to.be.greaterThan(0);
			expect(recomputed / found).to.be.lessThan(maxRecomputedShare);
		});
	}
});
