// Bundles the gateway with its libraries into one file and makes V8's code cache for it, so that it starts faster.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import {createRequire, isBuiltin} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import * as esbuild from 'esbuild';

const require = createRequire(import.meta.url);
const packages = ['core', 'gateway', 'kv'];
const unused = path.resolve('platform/bundle/unused.cjs');
/** Modules that are replaced, by patterns of their paths: parts of undici, and what libraries load without using it here. */
const replacements = [
	[/^undici$/, path.resolve('platform/bundle/undici-client.mjs')],
	[/^(?:node:)?assert$/, path.resolve('platform/bundle/assert.cjs')],
	// HTTP/2 of undici.
	[/^\.\/client-h2\.js$/, unused],
	// Sending metrics to other systems.
	[/^\.\/lib\/(?:pushgateway|cluster)$/, unused],
	// The index for Node looks for a native module, which a bundle can't load.
	[/^cbor-x$/, path.resolve('node_modules/cbor-x/index.js')],
];

const replacing = {
	name: 'replacing',
	setup(build) {
		for (const [filter, file] of replacements) {
			// The replacement may use what it replaces.
			build.onResolve({filter}, ({importer}) => importer === file ? undefined : {path: file});
		}
	},
};

/** Loads Node's modules by `require`, as a script has no imports. */
const nodeModules = {
	name: 'modules of Node',
	setup(build) {
		build.onResolve({filter: /./}, ({path: name, kind, namespace}) => {
			const isImport = kind === 'import-statement' && namespace !== 'node';
			return isImport && isBuiltin(name) ? {path: name, namespace: 'node', sideEffects: false} : undefined;
		});
		build.onLoad({filter: /./, namespace: 'node'}, ({path: name}) => {
			const names = Object.keys(require(name)).filter(key => /^[a-zA-Z]\w*$/.test(key) && key !== 'default');
			// Only what is used is read.
			const exportLines = names.map(key => `export const ${key} = /* @__PURE__ */ (() => all.${key})();`);
			return {contents: [`const all = require('${name}');`, 'export default all;', ...exportLines].join('\n')};
		});
	},
};

const {outputFiles: [{text}]} = await esbuild.build({
	entryPoints: ['platform/src/main.ts'],
	bundle: true,
	write: false,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	minify: true,
	keepNames: true,
	logLevel: 'warning',
	// A part of undici that undici-client.mjs lacks.
	logOverride: {'import-is-undefined': 'error'},
	plugins: [replacing, nodeModules],
	alias: Object.fromEntries(packages.map(name => [`@bluebellmast/${name}`, `./packages/${name}/src/index.ts`])),
});
fs.mkdirSync('target', {recursive: true});
fs.rmSync('target/gateway.cache', {force: true});
fs.writeFileSync('target/gateway.js', `(async function (require) {${text}\n})`);
fs.copyFileSync('platform/bundle/start.cjs', 'target/bluebellmast.cjs');

// V8 accepts a code cache only under the options that it was made with.
const [, command] = /^run = "node (.+)"$/m.exec(fs.readFileSync('deploy/system.toml', 'utf8'));
const words = command.split(' ');
const options = words.slice(0, words.findIndex(word => !word.startsWith('-')));
childProcess.execFileSync(process.execPath, [...options, 'scripts/code-cache.cjs'], {stdio: 'inherit'});
