import type {Finding} from '@chervilbeam/coordination';

/** Subset of JSON Schema that `checkAgainstSchema` supports. */
export interface Schema {
  readonly type?: 'object' | 'array' | 'string' | 'integer' | 'boolean';
  readonly description?: string;
  readonly properties?: Readonly<Record<string, Schema>>;
  readonly required?: readonly string[];
  readonly additionalProperties?: boolean;
  readonly items?: Schema;
  readonly enum?: readonly string[];
  readonly pattern?: string;
  readonly minimum?: number;
  readonly maximum?: number;
}

/** Returns a finding for everything in `value` that violates the schema; `place` is the path of `value`. */
export function checkAgainstSchema(
  schema: Schema,
  value: unknown,
  source: string,
  place = '',
): readonly Finding[] {
  if (!hasType(schema, value)) return [createFinding(schema, value, source, place)];
  if (Array.isArray(value)) {
    const {items} = schema;
    if (items === undefined) return [];
    return value.flatMap((item, i) => checkAgainstSchema(items, item, source, `${place}[${i}]`));
  }
  if (typeof value === 'object') {
    return checkObject(schema, value as Readonly<Record<string, unknown>>, source, place);
  }
  return isAllowedScalar(schema, value) ? [] : [createFinding(schema, value, source, place)];
}

function checkObject(
  schema: Schema,
  value: Readonly<Record<string, unknown>>,
  source: string,
  place: string,
): readonly Finding[] {
  const findings: Finding[] = [];
  const properties = schema.properties ?? {};
  const getPropertyPlace = (name: string) => (place === '' ? name : `${place}.${name}`);
  for (const name of schema.required ?? []) {
    if (value[name] === undefined) {
      findings.push(
        createFinding(properties[name] ?? {}, undefined, source, getPropertyPlace(name)),
      );
    }
  }
  for (const [name, propertyValue] of Object.entries(value)) {
    const propertySchema = Object.hasOwn(properties, name) ? properties[name] : undefined;
    if (propertySchema !== undefined) {
      findings.push(
        ...checkAgainstSchema(propertySchema, propertyValue, source, getPropertyPlace(name)),
      );
    } else if (schema.additionalProperties === false) {
      const allowed = `one of ${Object.keys(properties).join(', ')}`;
      findings.push({
        source,
        place: getPropertyPlace(name),
        value: formatValue(propertyValue),
        allowed,
      });
    }
  }
  return findings;
}

function hasType(schema: Schema, value: unknown): boolean {
  switch (schema.type) {
    case undefined:
      return true;
    case 'array':
      return Array.isArray(value);
    case 'object':
      return typeof value === 'object' && value !== null && !Array.isArray(value);
    case 'integer':
      return Number.isInteger(value);
    default:
      return typeof value === schema.type;
  }
}

function isAllowedScalar(schema: Schema, value: unknown): boolean {
  if (schema.enum !== undefined) return schema.enum.includes(value as string);
  if (schema.pattern !== undefined) return new RegExp(schema.pattern).test(value as string);
  if (typeof value !== 'number') return true;
  return value >= (schema.minimum ?? -Infinity) && value <= (schema.maximum ?? Infinity);
}

function createFinding(schema: Schema, value: unknown, source: string, place: string): Finding {
  return {source, place, value: formatValue(value), allowed: describeAllowed(schema)};
}

function describeAllowed(schema: Schema): string {
  if (schema.enum !== undefined) return `one of ${schema.enum.join(', ')}`;
  if (schema.pattern !== undefined) return `string matching ${schema.pattern}`;
  if (schema.minimum !== undefined || schema.maximum !== undefined) {
    return `${schema.type} from ${schema.minimum ?? '-∞'} to ${schema.maximum ?? '∞'}`;
  }
  return schema.type ?? 'any value';
}

function formatValue(value: unknown): string {
  return value === undefined ? 'absent' : JSON.stringify(value);
}
