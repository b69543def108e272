import type * as zod from 'zod';
import type * as finding from './finding.js';
import type * as yamlSource from './yaml-source.js';

/** Converts the issues of a schema validation to findings. An issue that names several unknown keys gives one finding per key. */
export function listSchemaFindings(source: yamlSource.YamlSource, issues: readonly zod.core.$ZodIssue[]): finding.FileFinding[] {
	return issues.flatMap(issue => toFindings(source, issue));
}

function toFindings(source: yamlSource.YamlSource, issue: zod.core.$ZodIssue): finding.FileFinding[] {
	const path = issue.path.map(part => typeof part === 'number' ? part : String(part));
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => source.findingAtKey(path, key, `unknown key '${key}'`));
	}

	if (issue.code === 'invalid_type' && !source.hasValue(path)) {
		return [source.findingAt(path, `required key '${formatPath(path)}' is missing`)];
	}

	const where = path.length === 0 ? '' : `${formatPath(path)}: `;
	return [source.findingAt(path, `${where}${issue.message}`)];
}

/** Formats a path, such as `a.b[0].c`. */
export function formatPath(path: yamlSource.YamlPath): string {
	let text = '';
	for (const part of path) {
		text += typeof part === 'number' ? `[${part}]` : `${text === '' ? '' : '.'}${part}`;
	}

	return text;
}
