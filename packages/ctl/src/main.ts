#!/usr/bin/env node
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as os from 'node:os';
import process from 'node:process';
import * as timers from 'node:timers/promises';
import * as clients from '@bluebellmast/kv';
import * as runCli from './cli/run-cli.js';
import * as routerClient from './routers/router-client.js';

process.exitCode = await runCli.runCli(process.argv.slice(2), {
	print(line) {
		process.stdout.write(`${line}\n`);
	},
	warn(line) {
		process.stderr.write(`${line}\n`);
	},
	readFile: file => fs.readFileSync(file === '-' ? process.stdin.fd : file, 'utf8'),
	writeFile(file, text) {
		fs.writeFileSync(file, text);
	},
	createKv: urls => clients.kv.createEtcdClient({baseUrls: urls}),
	createRouterClient: (url, operatorKey) => new routerClient.HttpRouterClient(url, operatorKey),
	now: () => Date.now(),
	async sleep(durationMs) {
		await timers.setTimeout(durationMs);
	},
	createId: () => crypto.randomUUID(),
	operator: readOperator(),
});

function readOperator(): string {
	try {
		return os.userInfo().username;
	} catch {
		return 'unknown';
	}
}
