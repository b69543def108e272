import * as purify from 'purify-ts';
import * as finding from '../document/finding.js';
import * as schemaFindings from '../document/schema-findings.js';
import * as yamlSource from '../document/yaml-source.js';
import * as settingsSchema from './settings-schema.js';

/** Parses a router's settings file. Returns all findings, in order of location, if there are any. */
export function parseSettings(file: string, text: string): purify.Either<readonly finding.FileFinding[], settingsSchema.Settings> {
	const source = new yamlSource.YamlSource(file, text);
	if (source.syntaxFindings.length > 0) {
		return purify.Left(finding.sortFindings(source.syntaxFindings));
	}

	const result = settingsSchema.settingsSchema.safeParse(source.toValue());
	if (!result.success) {
		return purify.Left(finding.sortFindings(schemaFindings.listSchemaFindings(source, result.error.issues)));
	}

	return purify.Right(result.data);
}
