// Bundles the gateway with its libraries into one file, which starts faster than many modules.
import path from 'node:path';
import * as esbuild from 'esbuild';

const packages = ['core', 'gateway', 'kv'];
const unused = path.resolve('platform/bundle/unused.cjs');
/** Modules that are replaced, by patterns of their paths: parts of undici, and what libraries load without using it here. */
const replacements = [
	[/^undici$/, path.resolve('platform/bundle/undici-client.mjs')],
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
			build.onResolve({filter}, () => ({path: file}));
		}
	},
};

await esbuild.build({
	entryPoints: ['platform/src/main.ts'],
	outfile: 'target/bluebellmast.mjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	minify: true,
	keepNames: true,
	logLevel: 'warning',
	// A part of undici that undici-client.mjs lacks.
	logOverride: {'import-is-undefined': 'error'},
	plugins: [replacing],
	alias: Object.fromEntries(packages.map(name => [`@bluebellmast/${name}`, `./packages/${name}/src/index.ts`])),
	// Libraries in CommonJS call require for the modules of Node.
	banner: {js: 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);'},
});
