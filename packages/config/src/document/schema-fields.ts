import * as zod from 'zod';

/** Whether a field may be omitted, and which value it has then. */
export enum FieldPresence {
	Required = 'required',
	/** May be omitted and has no default. */
	Optional = 'optional',
	/** May be omitted; the default is used then. */
	Defaulted = 'defaulted',
}

/** One field of a schema. */
export type SchemaField = {
	readonly key: string;
	readonly description: string;
	readonly presence: FieldPresence;
	/** Default of a field that is not an object. */
	readonly defaultValue?: unknown;
	/** The values of an enum; empty for other types. */
	readonly values: readonly string[];
	/** Fields of an object, or of the entries of a list of objects. */
	readonly fields: readonly SchemaField[];
	/** Whether the field is a list. */
	readonly isList: boolean;
};

type Unwrapped = {
	readonly schema: zod.ZodType;
	readonly presence: FieldPresence;
	readonly defaultValue?: unknown;
};

/** Returns the fields of an object schema in the order of their declaration. */
export function listSchemaFields(schema: zod.ZodObject): SchemaField[] {
	return Object.entries(schema.shape).map(([key, field]) => toField(key, field as zod.ZodType));
}

function toField(key: string, field: zod.ZodType): SchemaField {
	const {schema, presence, defaultValue} = unwrap(field);
	const element = schema instanceof zod.ZodArray ? schema.element : schema;
	return {
		key,
		description: field.description ?? '',
		presence,
		...(defaultValue !== undefined && {defaultValue}),
		values: schema instanceof zod.ZodEnum ? schema.options.map(String) : [],
		fields: element instanceof zod.ZodObject ? listSchemaFields(element) : [],
		isList: schema instanceof zod.ZodArray,
	};
}

function unwrap(field: zod.ZodType): Unwrapped {
	if (field instanceof zod.ZodOptional) {
		return {schema: field.unwrap() as zod.ZodType, presence: FieldPresence.Optional};
	}

	if (field instanceof zod.ZodPrefault) {
		return {schema: field.unwrap() as zod.ZodType, presence: FieldPresence.Defaulted};
	}

	if (field instanceof zod.ZodDefault) {
		return {schema: field.unwrap() as zod.ZodType, presence: FieldPresence.Defaulted, defaultValue: field.def.defaultValue};
	}

	return {schema: field, presence: FieldPresence.Required};
}
