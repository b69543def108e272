import * as renderFields from '../document/render-fields.js';
import * as schemaFields from '../document/schema-fields.js';
import * as settingsSchema from './settings-schema.js';

/** Returns all settings as YAML with their descriptions and defaults; settings without a default are commented out. */
export function renderDefaultSettings(): string {
	const fields = schemaFields.listSchemaFields(settingsSchema.settingsSchema);
	return `${renderFields.renderFields(fields).join('\n')}\n`;
}
