import type {Finding} from '../../findings/finding.js';
import {mainCell} from '../cell-shares.js';
import type {Configuration, ConfigurationOperation, Workload} from '../document.js';
import type {Intent} from '../intent/intent.js';
import {applyOperations, renderCanonical} from '../operations.js';
import {sealPlan, type EffectPredictor, type Plan, type PlanEffect} from './plan.js';

/** Largest size of the operations of one plan as JSON. The head of the change log holds up to 512 KiB. */
export const planByteLimit = 256 * 1024;

/** A plan, or all conflicts of the intent with the configuration. */
export type PlanResult =
  | {readonly ok: true; readonly plan: Plan}
  | {readonly ok: false; readonly findings: readonly Finding[]};

/**
 * Creates the plan that applies an intent to the configuration in force. Its effects are the predicted ones, or
 * follow from the declared task counts when `predict` returns undefined.
 */
export function createPlan(
  configuration: Configuration,
  intent: Intent,
  planId: string,
  source: string,
  predict: EffectPredictor = () => undefined,
): PlanResult {
  const operations = getOperations(configuration, intent);
  const findings = [
    ...checkReferences(configuration, intent, source),
    ...checkSize(operations, source),
  ];
  if (findings.length > 0) return {ok: false, findings};
  const next = applyOperations(configuration, operations, configuration.version + 1);
  const predicted = predict(next);
  const plan = sealPlan({
    planId,
    baseVersion: configuration.version,
    author: intent.operator,
    operations,
    effects: predicted ?? getDeclaredEffects(configuration, next),
    prediction: predicted ? 'scheduler' : 'declared',
  });
  return {ok: true, plan};
}

/** Returns the operations that an intent requires. Parts that are already in force require none. */
export function getOperations(
  configuration: Configuration,
  intent: Intent,
): ConfigurationOperation[] {
  const operations: ConfigurationOperation[] = [];
  for (const team of intent.teams) {
    if (!isEqual(configuration.teams.get(team.name), team)) {
      operations.push({kind: 'put-team', team});
    }
  }
  for (const workload of intent.workloads) {
    if (!isEqual(configuration.workloads.get(workload.name), workload)) {
      operations.push({kind: 'put-workload', workload});
    }
  }
  for (const name of intent.cancel) operations.push({kind: 'remove-workload', name});
  for (const {host, draining} of intent.drains) {
    if (configuration.drains.has(host) === draining) continue;
    operations.push({kind: draining ? 'drain-host' : 'undrain-host', host});
  }
  return operations;
}

function joinCellNames(workload: Workload): string {
  return workload.cells?.map(({cell}) => cell).join(', ') ?? mainCell;
}

function checkReferences(configuration: Configuration, intent: Intent, source: string): Finding[] {
  const findings: Finding[] = [];
  const teams = new Set([...configuration.teams.keys(), ...intent.teams.map(team => team.name)]);
  const listNames = {service: 'services', batch: 'batches', watch: 'watches'} as const;
  for (const workload of intent.workloads) {
    const place = `${listNames[workload.kind]} ${workload.name}`;
    if (!teams.has(workload.team)) {
      const allowed = `a team of the configuration: ${[...teams].sort().join(', ') || 'none yet'}`;
      findings.push({source, place: `${place}.team`, value: workload.team, allowed});
    }
    const present = configuration.workloads.get(workload.name);
    if (present && present.kind !== workload.kind) {
      const allowed = `a name that is not in use by a ${present.kind}`;
      findings.push({source, place: `${place}.name`, value: workload.name, allowed});
    }
    if (
      present &&
      workload.kind !== 'service' &&
      joinCellNames(present) !== joinCellNames(workload)
    ) {
      const allowed = `${joinCellNames(present)}, because the items already done are known there only`;
      const value = joinCellNames(workload);
      findings.push({source, place: `${place}.cells`, value, allowed});
    }
    if (intent.cancel.includes(workload.name)) {
      const allowed = 'a name that the same file does not cancel';
      findings.push({source, place: `${place}.name`, value: workload.name, allowed});
    }
  }
  intent.cancel.forEach((name, index) => {
    if (configuration.workloads.has(name)) return;
    const allowed = 'the name of a workload in the configuration';
    findings.push({source, place: `cancel[${index}]`, value: name, allowed});
  });
  return findings;
}

function checkSize(operations: readonly ConfigurationOperation[], source: string): Finding[] {
  const bytes = new TextEncoder().encode(JSON.stringify(operations)).length;
  if (bytes <= planByteLimit) return [];
  const allowed = `at most ${planByteLimit} bytes of changes in one plan; split the file`;
  return [{source, place: 'file', value: `${bytes} bytes`, allowed}];
}

/** Returns the effects that follow from the declared task counts alone. */
export function getDeclaredEffects(from: Configuration, to: Configuration): PlanEffect[] {
  const effects: PlanEffect[] = [];
  const add = (action: PlanEffect['action'], workload: string, tasks: number, reason: string) =>
    effects.push({action, workload, tasks, hosts: [], reason});
  for (const [name, workload] of to.workloads) {
    const previous = from.workloads.get(name);
    const addedTasks = workload.tasks - (previous?.tasks ?? 0);
    if (!previous) add('start', name, workload.tasks, `the ${workload.kind} is new`);
    else if (addedTasks > 0)
      add('start', name, addedTasks, `the number of tasks is raised to ${workload.tasks}`);
    else if (addedTasks < 0)
      add('stop', name, -addedTasks, `the number of tasks is lowered to ${workload.tasks}`);
  }
  for (const [name, workload] of from.workloads) {
    if (!to.workloads.has(name)) add('stop', name, workload.tasks, 'the workload is removed');
  }
  return effects.filter(effect => effect.tasks > 0);
}

function isEqual(a: unknown, b: unknown): boolean {
  return a !== undefined && renderCanonical(a) === renderCanonical(b);
}
