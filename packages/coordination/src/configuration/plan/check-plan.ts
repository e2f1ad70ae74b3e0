import type {Finding} from '../../findings/finding.js';
import {isRecord, ObjectReader, renderValue} from '../../findings/object-reader.js';
import {urgencies} from '../../messages/identity.js';
import {
  idempotentMethodRule,
  nameRule,
  operatorRule,
  readResources,
  taskLimit,
} from '../intent/intent-rules.js';
import {readCells} from '../intent/read-cells.js';
import {sealPlan, type Plan} from './plan.js';

const planIdRule = {
  pattern: /^[A-Za-z0-9.-]{1,100}$/,
  allowed: 'at most 100 letters, digits, dots and hyphens',
};

const countRange = {min: 0, max: Number.MAX_SAFE_INTEGER};

/** A valid plan, or all problems found in it. */
export type PlanCheck =
  | {readonly ok: true; readonly plan: Plan}
  | {readonly ok: false; readonly findings: readonly Finding[]};

/**
 * Validates a plan that an operator submits, including its digest. A malformed operation would be distributed to
 * every process.
 */
export function checkPlan(value: unknown, source: string): PlanCheck {
  const findings: Finding[] = [];
  if (!isRecord(value)) {
    const finding = {source, place: 'plan', value: renderValue(value), allowed: 'a plan'};
    return {ok: false, findings: [finding]};
  }
  const reader = new ObjectReader(value, source, '', findings);
  reader.getText('planId', planIdRule);
  reader.getInteger('baseVersion', countRange, 'version');
  reader.getText('author', operatorRule);
  reader.getText('digest', {pattern: /^[0-9a-f]{16}$/, allowed: 'the digest of the plan'});
  reader.getWord('prediction', ['scheduler', 'declared'] as const);
  reader.getList('effects');
  if (reader.has('operations')) reader.getObjects('operations').forEach(checkOperation);
  else reader.reject('operations', 'a list');
  reader.rejectUnknownFields();
  if (findings.length > 0) return {ok: false, findings};
  const plan = value as unknown as Plan;
  const {digest} = sealPlan(plan);
  if (digest === plan.digest) return {ok: true, plan};
  const allowed = `${digest}; the plan was changed after it was made`;
  return {ok: false, findings: [{source, place: 'digest', value: plan.digest, allowed}]};
}

function checkOperation(reader: ObjectReader): void {
  const kind = reader.getWord('kind', [
    'put-workload',
    'remove-workload',
    'put-team',
    'remove-team',
    'drain-host',
    'undrain-host',
  ] as const);
  switch (kind) {
    case 'put-workload':
      checkWorkload(reader.getObject('workload'));
      break;
    case 'put-team':
      checkTeam(reader.getObject('team'));
      break;
    case 'remove-workload':
    case 'remove-team':
      reader.getText('name', nameRule);
      break;
    case 'drain-host':
    case 'undrain-host':
      reader.getText('host', nameRule);
  }
  if (kind) reader.rejectUnknownFields();
}

function checkWorkload(reader: ObjectReader | undefined): void {
  if (!reader) return;
  const kind = reader.getWord('kind', ['service', 'batch', 'watch'] as const);
  reader.getText('name', nameRule);
  reader.getText('team', nameRule);
  reader.getWord('urgency', urgencies);
  const grant = reader.getObject('grant');
  grant?.getInteger('slots', countRange, 'slots');
  grant?.getInteger('processors', countRange, 'millicores');
  grant?.rejectUnknownFields();
  readResources(reader, 'resources');
  const tasks = reader.getInteger('tasks', {min: 0, max: taskLimit}, 'count');
  if (kind !== undefined) readCells(reader, tasks, kind);
  for (const field of ['runTimeSeconds', 'dateMs', 'checkpointSeconds']) {
    if (reader.has(field)) reader.getInteger(field, countRange, 'count');
  }
  for (const {value, place} of reader.getList('idempotentMethods')) {
    if (typeof value === 'string' && idempotentMethodRule.pattern.test(value)) continue;
    reader.rejectAt(place, value, idempotentMethodRule.allowed);
  }
  reader.rejectUnknownFields();
}

function checkTeam(reader: ObjectReader | undefined): void {
  if (!reader) return;
  reader.getText('name', nameRule);
  readResources(reader, 'quota');
  reader.getInteger('weight', {min: 1, max: 1000}, 'share of idle capacity');
  reader.rejectUnknownFields();
}
