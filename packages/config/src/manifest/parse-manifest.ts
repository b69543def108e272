import * as purify from 'purify-ts';
import * as finding from '../document/finding.js';
import * as schemaFindings from '../document/schema-findings.js';
import * as yamlSource from '../document/yaml-source.js';
import * as crossChecks from './cross-checks.js';
import type * as manifestContent from './manifest-content.js';
import * as manifestEntries from './manifest-entries.js';
import * as manifestSchema from './manifest-schema.js';

/** Parses a manifest file and checks its references. Returns all findings, in order of location, if there are any. */
export function parseManifest(file: string, text: string): purify.Either<readonly finding.FileFinding[], manifestContent.ParsedManifest> {
	const source = new yamlSource.YamlSource(file, text);
	if (source.syntaxFindings.length > 0) {
		return purify.Left(finding.sortFindings(source.syntaxFindings));
	}

	const value = source.toValue();
	const result = manifestSchema.manifestSchema.safeParse(value);
	const findings = result.success ? [] : schemaFindings.listSchemaFindings(source, result.error.issues);
	findings.push(...crossChecks.crossCheck(source, manifestEntries.collectEntries(value)));
	if (!result.success || findings.length > 0) {
		return purify.Left(finding.sortFindings(findings));
	}

	return purify.Right({content: toContent(result.data), madeFrom: result.data.madeFrom});
}

function toContent(file: manifestSchema.ManifestFile): manifestContent.ManifestContent {
	const services = file.services.map(service => ({...service, defaultKind: service.defaultKind ?? ''}));
	const kindOfService = new Map(services.map(service => [service.id, service.defaultKind]));
	return {
		models: file.models.map(model => ({...model, defaultKind: model.defaultKind ?? kindOfService.get(model.service) ?? ''})),
		adapters: file.adapters,
		accounts: file.accounts,
		kinds: file.kinds,
		services,
		endpoints: file.endpoints,
	};
}
