import * as canonicalJson from './canonical-json.js';
import * as manifestContent from './manifest-content.js';

/** Returns a line for each entry that differs, with the name of its list and its id: `+` for added, `-` for removed, `~` for changed. */
export function describeDifferences(from: manifestContent.ManifestContent, to: manifestContent.ManifestContent): string[] {
	return manifestContent.manifestListNames.flatMap(name => describeList(name, encodeById(from[name]), encodeById(to[name])));
}

function describeList(name: string, from: ReadonlyMap<string, string>, to: ReadonlyMap<string, string>): string[] {
	const removed = [...from.keys()].filter(id => !to.has(id)).map(id => `- ${name} ${id}`);
	const added = [...to.keys()].filter(id => !from.has(id)).map(id => `+ ${name} ${id}`);
	const changed = [...to].filter(([id, text]) => from.has(id) && from.get(id) !== text).map(([id]) => `~ ${name} ${id}`);
	return [...removed, ...added, ...changed];
}

function encodeById(list: ReadonlyArray<{readonly id: string}>): ReadonlyMap<string, string> {
	const decoder = new TextDecoder();
	return new Map(list.map(entry => [entry.id, decoder.decode(canonicalJson.encodeCanonicalJson(entry))]));
}
