import {readFileSync} from 'node:fs';
import type {Finding} from '@chervilbeam/coordination';
import {err, ok, type Result} from 'neverthrow';
import {checkAgainstSchema, type Schema} from './schema-check.js';
import type {Settings} from './settings.js';

const schemaUrl = new URL('../../../settings.schema.json', import.meta.url);
const schema = JSON.parse(readFileSync(schemaUrl, 'utf8')) as Schema;

/** Settings that only one role has. */
const ownerOf: ReadonlyMap<string, Settings['role']> = new Map<string, Settings['role']>([
  ['listen.callers', 'entry'],
  ['listen.peers', 'entry'],
  ['store', 'entry'],
  ['cells', 'entry'],
  ['settleMs', 'entry'],
  ['rack', 'agent'],
  ['cell', 'agent'],
  ['worker', 'agent'],
]);
const requiredForEntry = ['listen.callers', 'listen.peers'];

/** Reads a settings file and returns the settings or everything that is wrong with it. */
export function readSettings(file: string): Result<Settings, readonly Finding[]> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const value = (error as NodeJS.ErrnoException).code ?? String(error);
    return err([{source: file, place: '', value, allowed: 'a readable file'}]);
  }
  return parseSettings(text, file);
}

/** Parses the text of a settings file and returns the settings or all findings. */
export function parseSettings(text: string, source: string): Result<Settings, readonly Finding[]> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return err([{source, place: '', value: (error as Error).message, allowed: 'JSON'}]);
  }
  const findings = [...checkAgainstSchema(schema, value, source)];
  if (typeof value === 'object' && value !== null) findings.push(...checkRole(value, source));
  return findings.length > 0 ? err(findings) : ok(value as Settings);
}

function checkRole(value: object, source: string): readonly Finding[] {
  const {role} = value as {readonly role?: unknown};
  const findings: Finding[] = [];
  for (const [place, owner] of ownerOf) {
    const content = getAt(value, place);
    if (content === undefined) {
      if (role === 'entry' && requiredForEntry.includes(place)) {
        findings.push({source, place, value: 'absent', allowed: 'an address when role is entry'});
      }
    } else if ((role === 'entry' || role === 'agent') && role !== owner) {
      const allowed = `absent when role is ${role}`;
      findings.push({source, place, value: JSON.stringify(content), allowed});
    }
  }
  return findings;
}

function getAt(value: object, place: string): unknown {
  let content: unknown = value;
  for (const name of place.split('.')) {
    content = (content as Readonly<Record<string, unknown>> | undefined | null)?.[name];
  }
  return content;
}
