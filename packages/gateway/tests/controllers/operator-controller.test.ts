import {Buffer} from 'node:buffer';
import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as entries from '../support/weekly-entries.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const read = {startedAt: 0, changed: {after: 0, assumed: 1, before: 2}};
const config = {...entries.describeHour(0).config, version: 1};
const [listedModel] = config.pools[0]!.engine!.models;

// Guards against named versions of each model that ever was, and against the loss of times that limit the use of old weights.
describe('OperatorController', () => {
	const cases = [
		{
			title: 'forgets a model that the operator has removed', model: 'removed', isDeleted: true, heldBy: undefined, isKept: false,
		},
		{
			title: 'keeps a model whose version the store lists', model: 'removed', isDeleted: false, heldBy: undefined, isKept: true,
		},
		{
			title: 'keeps a model that the configuration lists', model: listedModel!, isDeleted: true, heldBy: undefined, isKept: true,
		},
		{
			title: 'keeps a model of which an endpoint holds weights', model: 'removed', isDeleted: true, heldBy: 'e', isKept: true,
		},
	];
	for (const {title, model, isDeleted, heldBy, isKept} of cases) {
		it(title, () => {
			const fleet = new gateway.placement.FleetState();
			const controller = new gateway.controllers.OperatorController({
				decoder: new entries.WeeklyDecoder(), config: new core.routing.ConfigState(), fleet, log: {write: () => undefined},
				unseenVersionAgeMs: 0, onConfigAccepted: () => undefined,
			});
			if (heldBy !== undefined) {
				const endpoint = entries.describeHour(0).endpoints[0]!;
				fleet.registry.put({...endpoint, id: heldBy, weights: new Map([[model, 1]])}, 0);
			}

			const key = `operator/version/${model}`;
			controller.onSnapshot([
				{key: 'operator/config', value: Buffer.from(JSON.stringify(config)), revision: 1},
				{key, value: Buffer.from(JSON.stringify({model, version: 2})), revision: 2},
			], read);
			if (isDeleted) {
				controller.onChange({key}, read);
			}

			controller.tick();
			expect(fleet.targets.newestVersions().get(model)).to.equal(isKept ? 2 : undefined);
		});
	}
});
