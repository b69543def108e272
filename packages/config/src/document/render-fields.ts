import * as schemaFields from './schema-fields.js';

const indentText = '  ';

/**
 * Returns fields as lines of YAML with their descriptions and defaults. Fields without a default are commented out,
 * so that the text can be used as a template of a file.
 */
export function renderFields(fields: readonly schemaFields.SchemaField[]): string[] {
	return fields.flatMap(field => renderField(field, '', ''));
}

/** Returns lists as lines of YAML, each followed by the fields of its entries, which are commented out. */
export function renderListFields(fields: readonly schemaFields.SchemaField[]): string[] {
	return fields.flatMap(field => [
		...renderField(field, '', ''),
		...field.fields.flatMap(part => renderEntryField(part, indentText)),
	]);
}

function renderEntryField(field: schemaFields.SchemaField, indent: string): string[] {
	const inner = field.fields.flatMap(part => renderEntryField(part, indent + indentText));
	return [`${indent}# ${describe(field)}`, `${indent}${renderValue(field, '# ')}`, ...inner];
}

function renderField(field: schemaFields.SchemaField, indent: string, comment: string): string[] {
	const description = `${indent}# ${describe(field)}`;
	if (field.fields.length === 0 || field.isList) {
		return [description, `${indent}${renderValue(field, comment)}`];
	}

	const inner = field.presence === schemaFields.FieldPresence.Optional ? '# ' : comment;
	const header = hasUncommentedLine(field) ? `${inner}${field.key}:` : `# ${field.key}:${renderPresence(field)}`;
	return [description, `${indent}${header}`, ...field.fields.flatMap(part => renderField(part, indent + indentText, inner))];
}

function describe(field: schemaFields.SchemaField): string {
	return field.values.length === 0 ? field.description : `${field.description} One of: ${field.values.join(', ')}.`;
}

function renderValue(field: schemaFields.SchemaField, comment: string): string {
	if (field.defaultValue !== undefined) {
		return `${comment}${field.key}: ${JSON.stringify(field.defaultValue)}`;
	}

	return field.fields.length > 0 && !field.isList ? `# ${field.key}:` : `# ${field.key}:${renderPresence(field)}`;
}

function renderPresence(field: schemaFields.SchemaField): string {
	return ` # ${field.presence}`;
}

/** Returns whether a field, or one nested in it, is rendered without being commented out. */
function hasUncommentedLine(field: schemaFields.SchemaField): boolean {
	if (field.presence === schemaFields.FieldPresence.Optional) {
		return false;
	}

	return field.defaultValue !== undefined || field.fields.some(part => hasUncommentedLine(part));
}
