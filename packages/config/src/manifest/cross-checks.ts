import * as core from '@bluebellmast/core';
import type * as finding from '../document/finding.js';
import type * as yamlSource from '../document/yaml-source.js';
import * as manifestContent from './manifest-content.js';
import type * as manifestEntries from './manifest-entries.js';

type Ids = Record<manifestContent.ManifestListName, ReadonlySet<string>>;

/** Collects findings about references between entries and about duplicates in one manifest file. */
class CrossChecker {
	readonly findings: finding.FileFinding[] = [];
	readonly #ids: Ids;

	constructor(readonly source: yamlSource.YamlSource, readonly entries: manifestEntries.ManifestEntries) {
		const {ids} = entries;
		this.#ids = {
			models: toIdSet(ids.models),
			adapters: toIdSet(ids.adapters),
			accounts: toIdSet(ids.accounts),
			kinds: toIdSet(ids.kinds),
			services: toIdSet(ids.services),
			endpoints: toIdSet(ids.endpoints),
		};
	}

	checkAll(): void {
		for (const name of manifestContent.manifestListNames) {
			this.#checkUnique(this.entries.ids[name].map(({index, id}) => ({path: [name, index, 'id'], text: id})), 'id');
		}

		this.#checkModels();
		this.#checkAdapters();
		this.#checkAccounts();
		this.#checkServices();
		this.#checkEndpoints();
	}

	#checkModels(): void {
		for (const {index, value} of this.entries.valid.models) {
			const path = ['models', index];
			this.#checkReference('services', value.service, [...path, 'service']);
			this.#checkKind(value.defaultKind, [...path, 'defaultKind']);
			this.#checkVersions(value.versions, [...path, 'versions']);
			this.#checkPool(value.id, value.service, [...path, 'service']);
		}
	}

	/** The service of a model must be of type engine and list the model. */
	#checkPool(model: string, serviceId: string, path: yamlSource.YamlPath): void {
		const service = this.entries.valid.services.find(({value}) => value.id === serviceId)?.value;
		if (service === undefined) {
			return;
		}

		if (service.type !== core.model.ServiceType.Engine) {
			this.#addFinding(path, `service '${serviceId}' is not of type 'engine'`);
		} else if (!service.models.includes(model)) {
			this.#addFinding(path, `service '${serviceId}' does not list model '${model}'`);
		}
	}

	#checkAdapters(): void {
		for (const {index, value} of this.entries.valid.adapters) {
			this.#checkReference('models', value.model, ['adapters', index, 'model']);
			this.#checkVersions(value.versions, ['adapters', index, 'versions']);
		}
	}

	#checkAccounts(): void {
		for (const {index, value} of this.entries.valid.accounts) {
			for (const [itemIndex, allowed] of value.allowed.entries()) {
				if (!this.#ids.models.has(allowed) && !this.#ids.services.has(allowed)) {
					this.#addFinding(['accounts', index, 'allowed', itemIndex], `unknown model or service '${allowed}'`);
				}
			}
		}

		const hashes = this.entries.valid.accounts.flatMap(({index, value}) =>
			value.keyHashes.map((text, itemIndex) => ({path: ['accounts', index, 'keyHashes', itemIndex], text})));
		this.#checkUnique(hashes, 'key hash');
	}

	#checkServices(): void {
		for (const {index, value} of this.entries.valid.services) {
			const path = ['services', index];
			this.#checkKind(value.defaultKind, [...path, 'defaultKind']);
			for (const [itemIndex, rule] of value.rules.entries()) {
				this.#checkKind(rule.kind, [...path, 'rules', itemIndex, 'kind']);
			}

			for (const [itemIndex, model] of value.models.entries()) {
				this.#checkReference('models', model, [...path, 'models', itemIndex]);
			}

			this.#checkServiceType(value, path);
		}
	}

	#checkServiceType(service: manifestEntries.Entry<'services'>['value'], path: yamlSource.YamlPath): void {
		const {type} = service;
		if (type !== core.model.ServiceType.Engine && service.models.length > 0) {
			this.#addFinding([...path, 'models'], `a service of type '${type}' must not list models`);
		}

		if (type !== core.model.ServiceType.Plain && service.rules.length > 0) {
			this.#addFinding([...path, 'rules'], `a service of type '${type}' must not have rules`);
		}

		if (type !== core.model.ServiceType.CacheStore && service.defaultKind === undefined) {
			this.#addFinding([...path, 'id'], `service '${service.id}' requires a defaultKind`);
		}
	}

	#checkEndpoints(): void {
		for (const {index, value} of this.entries.valid.endpoints) {
			this.#checkReference('services', value.service, ['endpoints', index, 'service']);
		}

		const addresses = this.entries.valid.endpoints.map(({index, value}) => ({
			path: ['endpoints', index, 'port'], text: `${value.host} port ${value.port}`,
		}));
		this.#checkUnique(addresses, 'address');
	}

	#checkVersions(versions: readonly string[], path: yamlSource.YamlPath): void {
		this.#checkUnique(versions.map((text, index) => ({path: [...path, index], text})), 'version');
	}

	#checkKind(kind: string | undefined, path: yamlSource.YamlPath): void {
		if (kind !== undefined) {
			this.#checkReference('kinds', kind, path);
		}
	}

	#checkReference(list: 'models' | 'services' | 'kinds', id: string, path: yamlSource.YamlPath): void {
		if (!this.#ids[list].has(id)) {
			this.#addFinding(path, `unknown ${list.slice(0, -1)} '${id}'`);
		}
	}

	#checkUnique(items: ReadonlyArray<{readonly path: yamlSource.YamlPath; readonly text: string}>, label: string): void {
		const seen = new Set<string>();
		for (const {path, text} of items) {
			if (seen.has(text)) {
				this.#addFinding(path, `duplicate ${label} '${text}'`);
			}

			seen.add(text);
		}
	}

	#addFinding(path: yamlSource.YamlPath, message: string): void {
		this.findings.push(this.source.findingAt(path, message));
	}
}

/** Returns a finding for each reference to an unknown entry, each service that does not fit its use, and each duplicate id, key hash, version or address. */
export function crossCheck(source: yamlSource.YamlSource, entries: manifestEntries.ManifestEntries): finding.FileFinding[] {
	const checker = new CrossChecker(source, entries);
	checker.checkAll();
	return checker.findings;
}

function toIdSet(ids: readonly manifestEntries.EntryId[]): ReadonlySet<string> {
	return new Set(ids.map(({id}) => id));
}
