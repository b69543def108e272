import * as schemaFields from '../document/schema-fields.js';
import * as settingsSchema from './settings-schema.js';

const indentText = '  ';

/**
 * Returns all settings as YAML with their descriptions and defaults. Required and optional ones without a default are
 * comments, so that the text can be taken as the start of a file.
 */
export function renderDefaultSettings(): string {
	const fields = schemaFields.schemaFields(settingsSchema.settingsSchema);
	return fields.flatMap(field => renderField(field, '', '')).join('\n') + '\n';
}

function renderField(field: schemaFields.SchemaField, indent: string, comment: string): string[] {
	const description = `${indent}# ${field.description}`;
	if (field.fields.length === 0 || field.isList) {
		return [description, `${indent}${renderValue(field, comment)}`];
	}

	const inner = field.presence === schemaFields.FieldPresence.Optional ? '# ' : comment;
	const header = hasDefault(field) ? `${inner}${field.key}:` : `# ${field.key}:${markOf(field)}`;
	return [description, `${indent}${header}`, ...field.fields.flatMap(part => renderField(part, indent + indentText, inner))];
}

function renderValue(field: schemaFields.SchemaField, comment: string): string {
	return field.defaultValue === undefined
		? `# ${field.key}:${markOf(field)}`
		: `${comment}${field.key}: ${JSON.stringify(field.defaultValue)}`;
}

function markOf(field: schemaFields.SchemaField): string {
	return ` # ${field.presence}`;
}

/** Whether a line of the field or below it is no comment. */
function hasDefault(field: schemaFields.SchemaField): boolean {
	if (field.presence === schemaFields.FieldPresence.Optional) {
		return false;
	}

	return field.defaultValue !== undefined || field.fields.some(part => hasDefault(part));
}
