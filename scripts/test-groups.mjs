// Groups of test files. Each group runs in a process of its own; which files share a process does not depend on the machine.
import * as fs from 'node:fs';

const testPattern = /\/tests\/.*\.test\.ts$/;
const restGroup = 'other packages';
/** Groups by the beginnings of their files' paths; a file belongs to the first group that fits. */
const groupPrefixes = {
	'load on the gateway': ['packages/gateway/tests/load/'],
	clients: ['platform/tests/clients/'],
	platform: ['platform/'],
	'core and gateway': ['packages/core/', 'packages/gateway/'],
	soak: ['packages/stand-ins/tests/soak/'],
};
/** Groups that start many processes and run after all others, alone. */
export const loneGroups = ['clients', 'soak'];

function listTests() {
	return [...fs.readdirSync('packages').map(pkg => `packages/${pkg}`), 'platform']
		.flatMap(pkg => {
			const folder = `${pkg}/tests`;
			return fs.existsSync(folder)
				? fs.readdirSync(folder, {recursive: true}).map(file => `${folder}/${file}`)
				: [];
		})
		.filter(file => testPattern.test(file))
		.sort();
}

function groupOf(file) {
	return Object.keys(groupPrefixes).find(name => groupPrefixes[name].some(prefix => file.startsWith(prefix))) ?? restGroup;
}

/** Returns the sorted test files of each group, by its name. */
export function listGroups() {
	const files = listTests();
	return new Map([...Object.keys(groupPrefixes), restGroup].map(name => [name, files.filter(file => groupOf(file) === name)]));
}
