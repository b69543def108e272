import type * as http from 'node:http';
import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

const {expect} = chai;

type Body = {readonly messages: Array<{role: string; content: string}>; readonly max_tokens: number; readonly order?: string};
type Responder = (res: http.ServerResponse, tokens: readonly string[], finishReason: string) => void;

function sendTokens(res: http.ServerResponse, tokens: readonly string[], finishReason?: string): void {
	for (const content of tokens) {
		res.write(`data: ${JSON.stringify({choices: [{index: 0, delta: {content}, finish_reason: null}]})}\n\n`); // eslint-disable-line @typescript-eslint/naming-convention
	}

	if (finishReason !== undefined) {
		res.write(`data: ${JSON.stringify({choices: [{index: 0, delta: {}, finish_reason: finishReason}]})}\n\n`); // eslint-disable-line @typescript-eslint/naming-convention
		res.end('data: [DONE]\n\n');
	}
}

function sendRefusal(res: http.ServerResponse, execution: string): void {
	standIns.util.sendJson(res, 503, {error: {code: 'overloaded', execution, message: ''}});
}

const streamErrorEvent = 'event: error\ndata: {"error":{"code":"stream_interrupted","execution":"unknown","message":""}}\n\n';
const cases: ReadonlyArray<{name: string; outcome: standIns.load.Outcome; answer: Responder}> = [
	{
		name: 'a complete answer', outcome: standIns.load.Outcome.Answered, answer(res, tokens, finishReason) {
			sendTokens(res, tokens, finishReason);
		},
	},
	{
		name: 'a complete answer after a stream restart', outcome: standIns.load.Outcome.Answered, answer(res, tokens, finishReason) {
			sendTokens(res, tokens.slice(0, 2));
			res.write('event: restart\ndata: {}\n\n');
			sendTokens(res, tokens, finishReason);
		},
	},
	{
		name: 'a truncated answer', outcome: standIns.load.Outcome.Wrong, answer(res, tokens, finishReason) {
			sendTokens(res, tokens.slice(0, -1), finishReason);
		},
	},
	{
		name: 'an answer without a [DONE] event', outcome: standIns.load.Outcome.Wrong, answer(res, tokens) {
			sendTokens(res, tokens);
			res.end();
		},
	},
	{
		name: 'an answer with reordered tokens', outcome: standIns.load.Outcome.Wrong, answer(res, tokens, finishReason) {
			sendTokens(res, [...tokens].reverse(), finishReason);
		},
	},
	{
		name: 'an answer with a duplicate token', outcome: standIns.load.Outcome.Wrong, answer(res, tokens, finishReason) {
			sendTokens(res, [tokens[0]!, ...tokens], finishReason);
		},
	},
	{
		name: 'a typed error after the first token', outcome: standIns.load.Outcome.Interrupted, answer(res, tokens) {
			sendTokens(res, tokens.slice(0, 1));
			res.end(streamErrorEvent);
		},
	},
	{
		name: 'a typed error before the first token', outcome: standIns.load.Outcome.RefusedUnknown, answer(res) {
			res.end(streamErrorEvent);
		},
	},
	{
		name: 'a refusal of a request that was not executed', outcome: standIns.load.Outcome.RefusedNotRun, answer(res) {
			sendRefusal(res, 'not_run');
		},
	},
	{
		name: 'a refusal with an unknown execution state', outcome: standIns.load.Outcome.Wrong, answer(res) {
			sendRefusal(res, 'perhaps');
		},
	},
	{
		name: 'a lost connection', outcome: standIns.load.Outcome.Lost, answer(res) {
			res.destroy();
		},
	},
];

describe('runLoad', () => {
	async function runAgainst(answer: Responder, options: Partial<standIns.load.LoadOptions> = {}) {
		const prompts: string[][] = [];
		const server = new standIns.fault.StandInServer({}, async (req, res) => {
			const body = await standIns.util.readJson(req) as Body;
			if (req.url === '/readyz') {
				standIns.util.sendJson(res, 200, {});
				return;
			}

			if (body.order !== undefined) {
				standIns.util.sendJson(res, 200, {order: body.order, account: 'club'});
				return;
			}

			prompts.push(body.messages.map(message => message.content));
			const expected = standIns.engine.expectedAnswer('club', body.messages, body.max_tokens);
			answer(res, expected.tokens, expected.finishReason);
		});
		const {port} = await server.start();
		const result = await standIns.load.runLoad({
			targets: [`http://127.0.0.1:${port}`],
			accounts: [{id: 'club', key: 'secret'}],
			model: 'model',
			maxRequests: 5,
			requestsPerSecond: 500,
			streamShare: 1,
			pieceTokens: 10,
			...options,
		});
		await server.stop();
		return {result, prompts};
	}

	for (const {name, outcome, answer} of cases) {
		it(`counts ${name} as ${outcome}`, async () => {
			const {result} = await runAgainst(answer);
			expect(result.questions, JSON.stringify(result.failures[0])).to.include({sent: 5, [outcome]: 5});
			expect(standIns.check.checkCounts('questions', {...result.questions, wrong: 0, lost: result.questions.lost + result.questions.wrong})).to.deep.equal([]);
		});
	}

	for (const [isOwnReason, outcome] of [[true, standIns.load.Outcome.Answered], [false, standIns.load.Outcome.Wrong]] as const) {
		it(`counts an unstreamed answer with ${isOwnReason ? 'its' : 'another'} finish reason as ${outcome}`, async () => {
			const {result} = await runAgainst((res, tokens, finishReason) => {
				const reason = isOwnReason ? finishReason : `not ${finishReason}`;
				/* eslint-disable @typescript-eslint/naming-convention */
				standIns.util.sendJson(res, 200, {
					choices: [{index: 0, message: {role: 'assistant', content: tokens.join('')}, finish_reason: reason}],
					usage: {prompt_tokens: 10, completion_tokens: tokens.length, prompt_tokens_details: {cached_tokens: 0}},
				});
				/* eslint-enable @typescript-eslint/naming-convention */
			}, {streamShare: 0});
			expect(result.questions, JSON.stringify(result.failures[0])).to.include({sent: 5, [outcome]: 5});
		});
	}

	it('sends the same prompts with nested shared prefixes for the same seed', async () => {
		const runs = [
			await runAgainst(cases[0]!.answer, {maxRequests: 30, seed: 4}),
			await runAgainst(cases[0]!.answer, {maxRequests: 30, seed: 4}),
		];
		const [first, second] = runs.map(run => run.prompts.map(prompt => prompt.join('|')).sort());
		expect(first).to.deep.equal(second);
		const plans = new Set(runs[0]!.prompts.map(prompt => prompt[0]));
		const questions = new Set(runs[0]!.prompts.map(prompt => prompt[2]));
		expect(plans.size).to.be.within(2, 8);
		expect(questions.size).to.equal(30);
	});

	it('counts a booking response with another account as wrong', async () => {
		const options = {bookingService: 'boekhuis', bookingShare: 1};
		const matching = await runAgainst(cases[0]!.answer, options);
		const mismatched = await runAgainst(cases[0]!.answer, {...options, accounts: [{id: 'school', key: 'other'}]});
		expect(matching.result.bookings).to.include({sent: 5, answered: 5});
		expect(mismatched.result.bookings).to.include({sent: 5, wrong: 5});
	});
});
