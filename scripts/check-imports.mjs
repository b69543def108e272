// Checks which packages and libraries each package imports, and that core uses no I/O module, clock, timer or randomness.
import * as fs from 'node:fs';
import process from 'node:process';
import path from 'node:path';

const scope = '@bluebellmast/';
/** Packages that each package in packages/ may import. */
const allowedImports = {
	core: [],
	wire: ['core'],
	config: ['core'],
	kv: ['core', 'wire'],
	gateway: ['core', 'kv'],
	router: ['core', 'wire', 'config', 'kv'],
	ctl: ['core', 'wire', 'config', 'kv'],
	'stand-ins': ['core', 'wire', 'config', 'kv'],
};
/** Allowed imports of packages whose folder is not in packages/. */
const allowedOutsidePackages = {platform: ['core', 'kv', 'gateway']};
/** Header, field and path names of the users' platform, which only the adapter in platform/ and the stand-ins may contain. */
const platformNames = /bluebellmast-(?:credential|tenant|prompt-prefix|token-usage|expected-instance|not-executed|server-load)|kv-watch|cold_remaining|op\/config/i;
const coreLibraries = ['xstate', 'purify-ts', 'xxhash-wasm', 'pure-rand'];
const coreForbidden = /Date\.now|new Date\(\)|Math\.random|setTimeout|setInterval|performance\.now|\bprocess\.[a-z]/;
const importPattern = /(?:from|import)\s*\(?\s*'([^']+)'/g;

function listSources(folder) {
	return fs.readdirSync(folder, {recursive: true, withFileTypes: true})
		.filter(entry => entry.isFile() && entry.name.endsWith('.ts'))
		.map(entry => path.join(entry.parentPath ?? entry.path, entry.name));
}

function checkImport(pkg, file, target) {
	if (target.startsWith('.')) {
		return [];
	}

	if (target.startsWith(scope)) {
		const other = target.slice(scope.length);
		return ({...allowedImports, ...allowedOutsidePackages})[pkg].includes(other) ? [] : [`${file}: ${pkg} may not import ${target}`];
	}

	if (pkg === 'core' && !coreLibraries.includes(target.split('/', 1)[0])) {
		return [`${file}: core may import only ${coreLibraries.join(', ')}, not ${target}`];
	}

	return /^(node:)?child_process$/.test(target) && pkg !== 'stand-ins' ? [`${file}: only stand-ins may start child processes`] : [];
}

function checkFile(pkg, file) {
	const text = fs.readFileSync(file, 'utf8');
	const findings = [...text.matchAll(importPattern)].flatMap(match => checkImport(pkg, file, match[1]));
	if (pkg === 'core') {
		for (const [index, line] of text.split('\n').entries()) {
			if (coreForbidden.test(line)) {
				findings.push(`${file}:${index + 1}: core must not use a clock, a timer, randomness or the environment`);
			}
		}
	}

	if (!(pkg in allowedOutsidePackages) && pkg !== 'stand-ins' && platformNames.test(text)) {
		findings.push(`${file}: must not contain names of the users' platform`);
	}

	return findings;
}

const folders = [
	...Object.keys(allowedImports).map(pkg => [pkg, `packages/${pkg}/src`]),
	...Object.keys(allowedOutsidePackages).map(pkg => [pkg, `${pkg}/src`]),
];
const findings = folders.flatMap(([pkg, folder]) => listSources(folder).flatMap(file => checkFile(pkg, file)));
for (const finding of findings) {
	console.error(finding);
}

console.log(`import rules: ${findings.length} findings`);
process.exitCode = findings.length === 0 ? 0 : 1;
