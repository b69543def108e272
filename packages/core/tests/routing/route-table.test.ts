import * as chai from 'chai';
import * as support from '../support/gateway-config.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;

describe('RouteTable', () => {
	const table = new core.routing.RouteTable(support.createConfig({
		routes: [
			support.createRoute({name: 'short', host: 'a.example', prefix: '/x/'}),
			support.createRoute({name: 'long', host: 'a.example', prefix: '/x/y/'}),
			support.createRoute({
				name: 'open', host: 'b.example', prefix: '/', isPublic: true,
			}),
		],
		accounts: [{name: 'club', keys: ['k1', 'k2'], isIsolated: false}],
	}));
	const cases: ReadonlyArray<readonly [string, string, string | undefined]> = [
		['a.example', '/x/1', 'short'],
		['a.example', '/x/y/1', 'long'],
		['A.Example:8080', '/x/y/1?q=/', 'long'],
		['a.example', '/x', undefined],
		['b.example', '/anything', 'open'],
		['c.example', '/x/1', undefined],
	];

	for (const [host, path, name] of cases) {
		it(`finds ${name ?? 'no route'} for ${host}${path}`, () => {
			expect(table.findRoute(host, path)?.name).to.equal(name);
		});
	}

	it('finds the account of a key, and requires no key on public routes', () => {
		expect(table.findAccount('k2')?.name).to.equal('club');
		expect(table.findAccount('k3')).to.equal(undefined);
		expect(table.needsKey(table.findRoute('a.example', '/x/1')!)).to.equal(true);
		expect(table.needsKey(table.findRoute('b.example', '/')!)).to.equal(false);
	});

	// Guards against ROUTE: a configuration whose last account was removed is not one that asks for no keys.
	it('requires keys wherever accounts are listed, also if the list is empty', () => {
		const cases: ReadonlyArray<readonly [accounts: readonly core.routing.ApiAccount[] | undefined, needsKeys: boolean]> = [
			[undefined, false],
			[[], true],
			[[{name: 'club', keys: [], isIsolated: false}], true],
			[[{name: 'club', keys: ['k1'], isIsolated: false}], true],
		];
		for (const [accounts, needsKeys] of cases) {
			const routes = [support.createRoute(), support.createRoute({host: 'b.example', isPublic: true})];
			const other = new core.routing.RouteTable(support.createConfig({routes, accounts}));
			expect(other.needsKey(other.findRoute('a.example', '/')!)).to.equal(needsKeys);
			expect(other.needsKey(other.findRoute('b.example', '/')!)).to.equal(false);
		}
	});

	// Guards against a table whose construction blocks the event loop for a time that grows with the square of the routes of a host.
	it('is built from 200,000 routes of one host in a time that grows with their number', function () {
		this.timeout(5000);
		const routes = Array.from({length: 200_000}, (_, index) => support.createRoute({name: `r${index}`, host: 'a.example', prefix: `/${index}/`}));
		const large = new core.routing.RouteTable(support.createConfig({routes}));
		expect(large.findRoute('a.example', '/199999/x')?.name).to.equal('r199999');
	});

	it('distributes requests among pools by weight', () => {
		const route = support.createRoute({pools: [{pool: 'p', weight: 90}, {pool: 'q', weight: 10}]});
		expect([0, 0.89, 0.9, 0.999].map(point => core.routing.choosePool(route, point))).to.deep.equal(['p', 'p', 'q', 'q']);
	});
});
