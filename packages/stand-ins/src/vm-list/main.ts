import * as fs from 'node:fs';
import process from 'node:process';
import type * as clients from '@bluebellmast/kv';
import * as util from '../util/index.js';
import * as vmList from './vm-list-stand-in.js';

const args = util.parseArguments(process.argv.slice(2), ['lag-ms', 'vms']);
const file = args.extra.vms;
const vms = file === undefined ? [] : JSON.parse(fs.readFileSync(file, 'utf8')) as clients.vms.ListedVm[];
await util.runStandIn(vmList.createVmList({
	...args, vms, lagMs: util.numberArgument(args, 'lag-ms'), onCrash: util.crashProcess,
}));
