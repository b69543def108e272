import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as configs from '../../../core/tests/support/gateway-config.js';
import * as manualClock from '../support/manual-clock.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const limits: core.routing.ConfigAgeLimits = {revocationMs: 5000, propagationMs: 2000, strictRevocation: true};
const tooOldMs = 4000;
const key = 'key-club';
const club: core.routing.ApiAccount = {name: 'club', keys: [key], isIsolated: false};
const privateRoute = configs.createRoute({prefix: '/a/'});
const publicRoute = {...privateRoute, isPublic: true};

type Config = Pick<core.routing.GatewayConfig, 'accounts' | 'routes'>;

type Case = {
	readonly title: string;
	/** Configuration under which the request was admitted, and the newest one. */
	readonly admittedBy: Config;
	readonly newest: Config;
	readonly ageMs?: number;
	readonly maySend: boolean;
};

const keyed: Config = {accounts: [club], routes: [privateRoute]};
const open: Config = {routes: [privateRoute]};
const cases: readonly Case[] = [
	{
		title: 'whose key is still valid', admittedBy: keyed, newest: keyed, maySend: true,
	},
	{
		title: 'whose key is valid by an old configuration', admittedBy: keyed, newest: keyed, ageMs: tooOldMs, maySend: false,
	},
	{
		title: 'whose key was revoked', admittedBy: keyed, newest: {...keyed, accounts: []}, maySend: false,
	},
	{
		title: 'whose key belongs to another account', admittedBy: keyed, newest: {...keyed, accounts: [{...club, name: 'other'}]}, maySend: false,
	},
	{
		title: 'that needs no key', admittedBy: open, newest: open, ageMs: tooOldMs, maySend: true,
	},
	{
		title: 'admitted without accounts, which were introduced', admittedBy: open, newest: keyed, maySend: false,
	},
	{
		title: 'admitted without accounts, of which an empty list was introduced', admittedBy: open, newest: {...keyed, accounts: []}, maySend: false,
	},
	{
		title: 'on a public route', admittedBy: {...keyed, routes: [publicRoute]}, newest: {...keyed, routes: [publicRoute]}, ageMs: tooOldMs, maySend: true,
	},
	{
		title: 'on a public route that became private', admittedBy: {...keyed, routes: [publicRoute]}, newest: keyed, maySend: false,
	},
	{
		title: 'on a public route of which a part became private',
		admittedBy: {...keyed, routes: [publicRoute]},
		newest: {...keyed, routes: [publicRoute, {...privateRoute, prefix: '/a/b/'}]},
		maySend: false,
	},
	{
		title: 'on a public route that was removed', admittedBy: {...keyed, routes: [publicRoute]}, newest: {...keyed, routes: []}, maySend: true,
	},
];

// Guards against requests that are sent although the newest configuration no longer admits them.
describe('ApiKeyAuthorizer', () => {
	for (const {title, admittedBy, newest, ageMs = 0, maySend} of cases) {
		it(`${maySend ? 'permits' : 'refuses'} a request ${title}`, () => {
			const state = new core.routing.ConfigState();
			state.accept(configs.createConfig({...admittedBy, version: 1}));
			const table = state.table!;
			const head = {host: 'a.example', target: '/a/b/c', apiKey: key};
			const route = table.findRoute(head.host, head.target)!;
			const request = {
				table, head, route, account: table.needsKey(route) ? table.findAccount(key) : undefined,
			} as unknown as gateway.call.RoutedRequest;
			state.accept(configs.createConfig({...newest, version: 2}));
			const clock = new manualClock.ManualClock();
			clock.now = ageMs;
			state.confirm(0);
			expect(new gateway.call.ApiKeyAuthorizer(state, limits, clock).maySend(request)).to.equal(maySend);
		});
	}
});
