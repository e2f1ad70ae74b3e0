import {readdirSync, readFileSync} from 'node:fs';
import t from 'tap';
import {parseIntent, parseIntentText} from '../../src/configuration/index.js';

interface ObjectSchema {
  readonly properties: Readonly<Record<string, unknown>>;
  readonly required: readonly string[];
}

const root = new URL('../../../', import.meta.url);
const schema = JSON.parse(readFileSync(new URL('intent.schema.json', root), 'utf8')) as {
  readonly properties: Readonly<Record<string, unknown>>;
  readonly $defs: Readonly<Record<string, ObjectSchema>>;
};

/**
 * Returns the places of the findings for an object in which every field has the wrong type: those about unknown
 * fields, or all others.
 */
function getFindingPlaces(list: string, fields: readonly string[], isUnknown: boolean): string[] {
  const entry = Object.fromEntries(fields.map(field => [field, isUnknown ? 0 : null]));
  const result = parseIntent({operator: 'a', [list]: [entry]}, 'x');
  if (result.ok) return [];
  return result.findings
    .filter(finding => finding.allowed.startsWith('no field') === isUnknown)
    .map(finding => finding.place.replace(`${list}[0].`, ''));
}

const lists = [
  ['services', 'service'],
  ['batches', 'batch'],
  ['watches', 'watch'],
  ['teams', 'team'],
] as const;

void t.test(
  'the JSON schema and the parser accept the same fields, so that editors report the same errors',
  async t => {
    for (const [list, name] of lists) {
      const {properties, required} = schema.$defs[name] as ObjectSchema;
      const fields = Object.keys(properties);
      t.same(
        getFindingPlaces(list, fields, true),
        [],
        `${list}: no field of the schema is unknown`,
      );
      t.same(
        getFindingPlaces(list, [], false).sort(),
        [...required].sort(),
        `${list}: required fields`,
      );
    }
    const topLevel = Object.fromEntries(Object.keys(schema.properties).map(field => [field, []]));
    t.match(parseIntent({...topLevel, operator: 'a'}, 'x'), {ok: true});
  },
);

void t.test('every example intent is valid, so that users can start from it', async t => {
  const folder = new URL('../../examples/', root);
  const files = readdirSync(folder).filter(file => file.endsWith('.json'));
  t.ok(files.length >= 3);
  for (const file of files) {
    const text = readFileSync(new URL(file, folder), 'utf8');
    const isSettings = 'role' in (JSON.parse(text) as object);
    if (!isSettings) t.match(parseIntentText(text, file), {ok: true}, file);
  }
});
