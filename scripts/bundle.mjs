// Bundles the gateway with its libraries into one file, which starts faster than many modules.
import * as esbuild from 'esbuild';

const packages = ['core', 'gateway', 'kv'];

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
	alias: Object.fromEntries(packages.map(name => [`@bluebellmast/${name}`, `./packages/${name}/src/index.ts`])),
	// Libraries in CommonJS call require for the modules of Node.
	banner: {js: 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);'},
});
