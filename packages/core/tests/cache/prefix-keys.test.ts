import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const options = {pieceTokens: 10, charsPerToken: 2};
const scope = {account: 'federation', model: 'lantaarn'};
const weights = {model: 'lantaarn', modelVersion: '7'};

function messages(text: string): core.cache.PromptMessage[] {
	return [{role: 'user', content: text}];
}

describe('prefix keys', () => {
	it('returns equal keys only for the shared beginning of two prompts', () => {
		const left = core.cache.splitPrompt(scope, messages('a'.repeat(55) + 'x'.repeat(30)), options);
		const right = core.cache.splitPrompt(scope, messages('a'.repeat(55) + 'y'.repeat(30)), options);
		expect(left.homeKeys).to.have.length(4);
		expect(left.homeKeys.slice(0, 3)).to.deep.equal(right.homeKeys.slice(0, 3));
		expect(left.homeKeys[3]).to.not.equal(right.homeKeys[3]);
		expect(left.promptTokens).to.equal(45);
	});

	const others = [
		{title: 'account', scope: {...scope, account: 'school'}, weights},
		{title: 'version', scope, weights: {...weights, modelVersion: '8'}},
		{title: 'adapter', scope: {...scope, adapter: 'site'}, weights: {...weights, adapter: 'site', adapterVersion: '1'}},
	];
	for (const other of others) {
		it(`returns different keys for another ${other.title}`, () => {
			const text = messages('a'.repeat(90));
			const mine = core.cache.bindPrefix(core.cache.splitPrompt(scope, text, options), weights);
			const theirs = core.cache.bindPrefix(core.cache.splitPrompt(other.scope, text, options), other.weights);
			const keys = new Set([...mine, ...theirs].map(piece => piece.key));
			expect(keys.size).to.equal(mine.length * 2);
			expect(core.cache.cacheSalt(other.scope.account, other.weights)).to.not.equal(core.cache.cacheSalt('federation', weights));
		});
	}

	it('returns the same home keys for each split of a prompt, independent of the weights version', () => {
		const prompt = core.cache.splitPrompt(scope, messages('a'.repeat(90)), options);
		const again = core.cache.splitPrompt(scope, messages('a'.repeat(90)), options);
		expect(prompt.homeKeys).to.deep.equal(again.homeKeys);
	});
});
