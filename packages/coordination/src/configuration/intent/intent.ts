import type {Finding} from '../../findings/finding.js';
import {isRecord, ObjectReader, renderValue} from '../../findings/object-reader.js';
import type {Urgency, WorkloadKind} from '../../messages/identity.js';
import {urgencies} from '../../messages/identity.js';
import type {CapacityGrant, Team, Workload} from '../document.js';
import {
  idempotentMethodRule,
  nameRule,
  operatorRule,
  parseDate,
  readResources,
  taskLimit,
} from './intent-rules.js';
import {readCells} from './read-cells.js';

/** Request to drain a host or to return it to service. */
export interface DrainIntent {
  readonly host: string;
  readonly draining: boolean;
}

/** The changes that an operator requests, with every field validated. */
export interface Intent {
  readonly operator: string;
  readonly workloads: readonly Workload[];
  readonly teams: readonly Team[];
  readonly drains: readonly DrainIntent[];
  /** Names of workloads to remove. */
  readonly cancel: readonly string[];
}

/** A valid intent, or all problems found in it. */
export type IntentResult =
  | {readonly ok: true; readonly intent: Intent}
  | {readonly ok: false; readonly findings: readonly Finding[]};

/** Parses and validates the text of an intent file. Returns all problems at once. */
export function parseIntentText(text: string, source: string): IntentResult {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    const finding = {source, place: 'file', value: message, allowed: 'JSON'};
    return {ok: false, findings: [finding]};
  }
  return parseIntent(value, source);
}

/** Validates an intent that is already parsed from JSON. Returns all problems at once. */
export function parseIntent(value: unknown, source: string): IntentResult {
  const findings: Finding[] = [];
  if (!isRecord(value)) {
    const finding = {source, place: 'file', value: renderValue(value), allowed: 'an object'};
    return {ok: false, findings: [finding]};
  }
  const reader = new ObjectReader(value, source, '', findings);
  const operator = reader.getText('operator', operatorRule);
  const workloads = [
    ...readWorkloads(reader, 'services', 'service'),
    ...readWorkloads(reader, 'batches', 'batch'),
    ...readWorkloads(reader, 'watches', 'watch'),
  ];
  const teams = reader.getObjects('teams').map(readTeam);
  const drains = readDrains(reader, source, findings);
  const cancel = readNames(reader, 'cancel', source, findings);
  reader.has('$schema');
  reader.rejectUnknownFields();
  rejectDuplicates(workloads, 'a name that no other workload of the file has');
  rejectDuplicates(teams, 'a name that no other team of the file has');
  if (findings.length > 0) return {ok: false, findings};
  return {
    ok: true,
    intent: {
      operator: operator as string,
      workloads: workloads.map(read => read.value as Workload),
      teams: teams.map(read => read.value as Team),
      drains,
      cancel,
    },
  };
}

/** Result of reading one object; `value` is undefined when a finding was added. */
interface ReadResult<Value extends {readonly name: string}> {
  readonly reader: ObjectReader;
  readonly name: string | undefined;
  readonly value: Value | undefined;
}

function readWorkloads(
  reader: ObjectReader,
  field: string,
  kind: WorkloadKind,
): Array<ReadResult<Workload>> {
  return reader.getObjects(field).map(entry => readWorkload(entry, kind));
}

function readWorkload(reader: ObjectReader, kind: WorkloadKind): ReadResult<Workload> {
  const name = reader.getText('name', nameRule);
  const team = reader.getText('team', nameRule);
  const urgency = reader.getWord<Urgency>('urgency', urgencies);
  const grant = readGrant(reader);
  const resources = readResources(reader, 'resources');
  const tasks = reader.getInteger(
    kind === 'batch' ? 'tasks' : 'replicas',
    {min: kind === 'batch' ? 1 : 0, max: taskLimit},
    'count',
  );
  const optionalFields = {
    ...readOptionalSeconds(reader, 'checkpointSeconds'),
    ...readCells(reader, tasks, kind),
    ...(kind === 'batch' ? readBatchFields(reader) : {}),
    ...(kind === 'service' ? readIdempotentMethods(reader) : {}),
  };
  reader.rejectUnknownFields();
  if (!name || !team || !urgency || !grant || !resources || tasks === undefined) {
    return {reader, name, value: undefined};
  }
  return {
    reader,
    name,
    value: {kind, name, team, urgency, grant, resources, tasks, ...optionalFields},
  };
}

function readGrant(reader: ObjectReader): CapacityGrant | undefined {
  if (!reader.has('grant')) return {slots: 0, processors: 0};
  const grant = reader.getObject('grant');
  if (!grant) return undefined;
  const limit = {min: 0, max: 100_000_000};
  const slots = grant.has('slots') ? grant.getInteger('slots', limit, 'slots') : 0;
  const processors = grant.has('processors')
    ? grant.getInteger('processors', limit, 'millicores')
    : 0;
  grant.rejectUnknownFields();
  if (slots === undefined || processors === undefined) return undefined;
  return {slots, processors};
}

function readBatchFields(reader: ObjectReader): Pick<Workload, 'runTimeSeconds' | 'dateMs'> {
  const fields = readOptionalSeconds(reader, 'runTimeSeconds');
  if (!reader.has('runTimeSeconds')) {
    reader.reject('runTimeSeconds', 'declared run time of one item in seconds');
  }
  if (!reader.has('date')) return fields;
  const text = reader.getText('date', {
    pattern: /^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}(:\d{2}(\.\d{1,3})?)?(Z|[+-]\d{2}:\d{2})$/,
    allowed: 'ISO 8601 date and time with zone, for example 2026-12-31T18:00:00+01:00',
  });
  if (text === undefined) return fields;
  const dateMs = parseDate(text);
  if (dateMs === undefined) {
    reader.reject('date', 'a date of the calendar');
    return fields;
  }
  return {...fields, dateMs};
}

function readOptionalSeconds<Field extends 'runTimeSeconds' | 'checkpointSeconds'>(
  reader: ObjectReader,
  field: Field,
): Partial<Record<Field, number>> {
  if (!reader.has(field)) return {};
  const seconds = reader.getInteger(field, {min: 1, max: 31_536_000}, 'seconds');
  return seconds === undefined ? {} : ({[field]: seconds} as Record<Field, number>);
}

function readIdempotentMethods(reader: ObjectReader): Pick<Workload, 'idempotentMethods'> {
  if (!reader.has('idempotentMethods')) return {};
  const idempotentMethods: string[] = [];
  for (const {value, place} of reader.getList('idempotentMethods')) {
    if (typeof value === 'string' && idempotentMethodRule.pattern.test(value)) {
      if (!idempotentMethods.includes(value)) idempotentMethods.push(value);
    } else {
      reader.rejectAt(place, value, idempotentMethodRule.allowed);
    }
  }
  return {idempotentMethods};
}

function readTeam(reader: ObjectReader): ReadResult<Team> {
  const name = reader.getText('name', nameRule);
  const quota = readResources(reader, 'quota');
  const weight = reader.has('weight')
    ? reader.getInteger('weight', {min: 1, max: 1000}, 'share of idle capacity')
    : 1;
  reader.rejectUnknownFields();
  if (!name || !quota || weight === undefined) return {reader, name, value: undefined};
  return {reader, name, value: {name, quota, weight}};
}

function readDrains(reader: ObjectReader, source: string, findings: Finding[]): DrainIntent[] {
  const drains = new Map<string, DrainIntent>();
  const allowed = `a host name, or {"host": name, "draining": true or false}; ${nameRule.allowed}`;
  for (const {value, place} of reader.getList('drains')) {
    const drain = parseDrain(value);
    if (!drain || !nameRule.pattern.test(drain.host)) {
      findings.push({source, place, value: renderValue(value), allowed});
    } else if (drains.has(drain.host)) {
      findings.push({source, place, value: renderValue(value), allowed: 'each host once'});
    } else {
      drains.set(drain.host, drain);
    }
  }
  return [...drains.values()];
}

function parseDrain(value: unknown): DrainIntent | undefined {
  if (typeof value === 'string') return {host: value, draining: true};
  if (!isRecord(value) || Object.keys(value).some(key => key !== 'host' && key !== 'draining')) {
    return undefined;
  }
  const {host, draining} = value;
  if (typeof host !== 'string' || typeof draining !== 'boolean') return undefined;
  return {host, draining};
}

function readNames(
  reader: ObjectReader,
  field: string,
  source: string,
  findings: Finding[],
): string[] {
  const names: string[] = [];
  for (const {value, place} of reader.getList(field)) {
    if (typeof value !== 'string' || !nameRule.pattern.test(value)) {
      findings.push({source, place, value: renderValue(value), allowed: nameRule.allowed});
    } else if (names.includes(value)) {
      findings.push({source, place, value: renderValue(value), allowed: 'each name once'});
    } else {
      names.push(value);
    }
  }
  return names;
}

function rejectDuplicates<Value extends {readonly name: string}>(
  results: ReadonlyArray<ReadResult<Value>>,
  allowed: string,
): void {
  const firstPlaces = new Map<string, string>();
  for (const {reader, name} of results) {
    if (name === undefined) continue;
    const firstPlace = firstPlaces.get(name);
    if (firstPlace === undefined) firstPlaces.set(name, reader.getPlace('name'));
    else reader.reject('name', `${allowed}; first used at ${firstPlace}`);
  }
}
