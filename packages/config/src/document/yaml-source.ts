import * as yaml from 'yaml';
import type * as finding from './finding.js';

/** Path to a value: map keys and list indices. */
export type YamlPath = ReadonlyArray<string | number>;

/** A parsed YAML document with the line and column of each value. */
export class YamlSource {
	/** Errors and warnings of the YAML parser: syntax errors, duplicate keys, more than one document. */
	readonly syntaxFindings: readonly finding.FileFinding[];
	readonly #document: yaml.Document.Parsed;
	readonly #lineCounter = new yaml.LineCounter();

	constructor(readonly file: string, text: string) {
		this.#document = yaml.parseDocument(text, {lineCounter: this.#lineCounter, prettyErrors: false, stringKeys: true});
		this.syntaxFindings = [...this.#document.errors, ...this.#document.warnings]
			.map(({pos: [offset], message}) => this.#findingAtOffset(offset, message));
	}

	/** Returns the document as a plain JavaScript value. */
	toValue(): unknown {
		return this.#document.toJS() as unknown;
	}

	/** Returns a finding at the value with a path, or at its nearest ancestor that exists. */
	findingAt(path: YamlPath, message: string): finding.FileFinding {
		return this.#findingAtOffset(this.#offsetOfNearest(path), message);
	}

	/** Returns a finding at a key of the map with a path. */
	findingAtKey(path: YamlPath, key: string, message: string): finding.FileFinding {
		return this.#findingAtOffset(this.#keyOffset(path, key) ?? this.#offsetOfNearest(path), message);
	}

	/** Returns whether there is a value with a path. */
	hasValue(path: YamlPath): boolean {
		return this.#document.hasIn(path);
	}

	#findingAtOffset(offset: number, message: string): finding.FileFinding {
		const {line, col} = this.#lineCounter.linePos(offset);
		return {
			file: this.file, line: Math.max(line, 1), column: Math.max(col, 1), message,
		};
	}

	#offsetOfNearest(path: YamlPath): number {
		for (let {length} = path; length > 0; length -= 1) {
			const offset = this.#offsetOfExact(path.slice(0, length));
			if (offset !== undefined) {
				return offset;
			}
		}

		return 0;
	}

	/** Returns the offset of a scalar, or of the key of a map or list; a map or list in a list has no key and begins at its own offset. */
	#offsetOfExact(path: YamlPath): number | undefined {
		const node = this.#document.getIn(path, true);
		const last = path.at(-1);
		if (!yaml.isScalar(node) && typeof last === 'string') {
			return this.#keyOffset(path.slice(0, -1), last);
		}

		return yaml.isNode(node) ? node.range?.[0] : undefined;
	}

	#keyOffset(path: YamlPath, key: string): number | undefined {
		const node = path.length === 0 ? this.#document.contents : this.#document.getIn(path, true);
		if (!yaml.isMap(node)) {
			return undefined;
		}

		const pair = node.items.find(item => yaml.isScalar(item.key) && item.key.value === key);
		return yaml.isScalar(pair?.key) ? pair.key.range?.[0] : undefined;
	}
}
