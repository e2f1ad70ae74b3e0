import {readFileSync} from 'node:fs';
import type {Finding} from '@chervilbeam/coordination';
import {err, ok, type Result} from 'neverthrow';
import {checkAgainstSchema, type Schema} from './schema-check.js';
import type {Settings} from './settings.js';

const schemaUrl = new URL('../../../settings.schema.json', import.meta.url);
const settingsSchema = JSON.parse(readFileSync(schemaUrl, 'utf8')) as Schema;

/** Settings that only one role may have, by their path. */
const roleBySetting: ReadonlyMap<string, Settings['role']> = new Map<string, Settings['role']>([
  ['listen.callers', 'entry'],
  ['listen.peers', 'entry'],
  ['store', 'entry'],
  ['cells', 'entry'],
  ['settleMs', 'entry'],
  ['rack', 'agent'],
  ['cell', 'agent'],
  ['worker', 'agent'],
]);
/** Settings that an entry must have; the schema does not require them because agents lack them. */
const requiredEntrySettings = ['listen.callers', 'listen.peers'];

/** Reads a settings file and returns the settings, or all findings when the file is unreadable or invalid. */
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

/** Parses the text of a settings file and returns the settings, or all findings; `source` names the file in them. */
export function parseSettings(text: string, source: string): Result<Settings, readonly Finding[]> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return err([{source, place: '', value: (error as Error).message, allowed: 'JSON'}]);
  }
  const findings = [...checkAgainstSchema(settingsSchema, value, source)];
  if (typeof value === 'object' && value !== null) findings.push(...checkRole(value, source));
  return findings.length > 0 ? err(findings) : ok(value as Settings);
}

function checkRole(value: object, source: string): readonly Finding[] {
  const {role} = value as {readonly role?: unknown};
  const findings: Finding[] = [];
  for (const [place, owner] of roleBySetting) {
    const settingValue = getValueAtPath(value, place);
    if (settingValue === undefined) {
      if (role === 'entry' && requiredEntrySettings.includes(place)) {
        findings.push({source, place, value: 'absent', allowed: 'an address when role is entry'});
      }
    } else if ((role === 'entry' || role === 'agent') && role !== owner) {
      const allowed = `absent when role is ${role}`;
      findings.push({source, place, value: JSON.stringify(settingValue), allowed});
    }
  }
  return findings;
}

function getValueAtPath(value: object, place: string): unknown {
  let current: unknown = value;
  for (const name of place.split('.')) {
    current = (current as Readonly<Record<string, unknown>> | undefined | null)?.[name];
  }
  return current;
}
