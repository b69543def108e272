// Bundles the gateway with its libraries into one file, which starts faster than many modules.
import path from 'node:path';
import * as esbuild from 'esbuild';

const packages = ['core', 'gateway', 'kv'];

/** Replaces undici by the parts of it that are used. */
const undiciClient = {
	name: 'undici client',
	setup(build) {
		build.onResolve({filter: /^undici$/}, () => ({path: path.resolve('platform/bundle/undici-client.mjs')}));
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
	plugins: [undiciClient],
	alias: Object.fromEntries(packages.map(name => [`@bluebellmast/${name}`, `./packages/${name}/src/index.ts`])),
	// Libraries in CommonJS call require for the modules of Node.
	banner: {js: 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);'},
});
