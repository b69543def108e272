/** Line of the code under test that makes a map or set as large as {@link minSize}. */
type Site = string;

/** Smaller collections are not recorded: to find the line takes about as long as ten writes. */
const minSize = 16;
const codePattern = /packages\/(core|gateway|router)\/dist\/(.+)\.js$/;

/** Records the largest sizes of the maps and sets that the packages `core`, `gateway` and `router` create while it is installed. */
export class CollectionSizes {
	#largest = new Map<Site, number>();
	readonly #originalMap = globalThis.Map;
	readonly #originalSet = globalThis.Set;

	/** Replaces the global classes, so that each collection that is created from now on reports its size. */
	install(): void {
		const record = (site: Site, size: number): void => {
			if (size > (this.#largest.get(site) ?? 0)) {
				this.#largest.set(site, size);
			}
		};

		class RecordedMap<Key, Value> extends Map<Key, Value> {
			#site: Site | undefined;

			constructor(...args: ConstructorParameters<typeof Map<Key, Value>>) {
				super(...args);
				if (this.size >= minSize) {
					this.#site = findSite(RecordedMap);
					record(this.#site, this.size);
				}
			}

			override set(key: Key, value: Value): this {
				super.set(key, value);
				// The constructor of `Map` calls this method before the field exists.
				if (this.size >= minSize && #site in this) {
					this.#site ??= findSite(this.set);
					record(this.#site, this.size);
				}

				return this;
			}
		}

		class RecordedSet<Value> extends Set<Value> {
			#site: Site | undefined;

			constructor(...args: ConstructorParameters<typeof Set<Value>>) {
				super(...args);
				if (this.size >= minSize) {
					this.#site = findSite(RecordedSet);
					record(this.#site, this.size);
				}
			}

			override add(value: Value): this {
				super.add(value);
				if (this.size >= minSize && #site in this) {
					this.#site ??= findSite(this.add);
					record(this.#site, this.size);
				}

				return this;
			}
		}

		globalThis.Map = RecordedMap;
		globalThis.Set = RecordedSet;
	}

	/** Restores the global classes. */
	uninstall(): void {
		globalThis.Map = this.#originalMap;
		globalThis.Set = this.#originalSet;
	}

	/** Returns the largest sizes since the last call, by site; collections of other code are left out. */
	takeLargest(): ReadonlyMap<Site, number> {
		const taken = this.#largest;
		this.#largest = new this.#originalMap<Site, number>();
		taken.delete('');
		return taken;
	}
}

/** Returns the line that called a function; empty if it is not part of the code under test. */
function findSite(callee: unknown): Site {
	const {prepareStackTrace, stackTraceLimit} = Error;
	const holder: {stack?: readonly NodeJS.CallSite[]} = {};
	Error.stackTraceLimit = 1;
	Error.prepareStackTrace = (_, sites) => sites;
	Error.captureStackTrace(holder, callee as () => unknown);
	const [site] = holder.stack!;
	Error.prepareStackTrace = prepareStackTrace;
	Error.stackTraceLimit = stackTraceLimit;
	const match = codePattern.exec(site?.getFileName() ?? '');
	return match === null ? '' : `${match[1]}/${match[2]}:${site!.getLineNumber()}`;
}
