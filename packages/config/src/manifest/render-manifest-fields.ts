import * as renderFields from '../document/render-fields.js';
import * as schemaFields from '../document/schema-fields.js';
import * as manifestSchema from './manifest-schema.js';

/** Returns all fields of a manifest file as YAML with their descriptions and defaults; the fields of list entries are commented out. */
export function renderManifestFields(): string {
	const fields = schemaFields.listSchemaFields(manifestSchema.manifestSchema);
	return `${renderFields.renderListFields(fields).join('\n')}\n`;
}
