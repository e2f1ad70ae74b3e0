import {type History} from '../history.js';
import type {Violation} from '../promise.js';

/** Time after acceptance by which a change is in force at every process that lives and is connected. */
export const inForceWithinMs = 5_000;

/**
 * P9: an accepted change is in the log for ever and in force at every living process within seconds, a process
 * never goes back to a lower version, and a version means the same configuration everywhere. Processes are named
 * by incarnation, so that a restarted process may start without a configuration.
 */
export function checkConfigurationInForce(
  history: History,
  withinMs = inForceWithinMs,
): Violation[] {
  const violations: Violation[] = [];
  const add = (at: number, subject: string, detail: string) =>
    violations.push({promise: 'configuration-in-force', at, subject, detail});
  const current = new Map<string, number>();
  const reached = new Map<string, Array<{version: number; at: number}>>();
  const digests = new Map<number, string>();
  for (const event of history.select('configuration-in-force')) {
    const before = current.get(event.process) ?? -1;
    if (event.version < before) {
      add(event.at, event.process, `went back from version ${before} to ${event.version}`);
    }
    current.set(event.process, event.version);
    const digest = digests.get(event.version);
    if (digest !== undefined && digest !== event.digest) {
      add(event.at, event.process, `holds another content of version ${event.version}`);
    }
    digests.set(event.version, event.digest);
    const steps = reached.get(event.process) ?? [];
    steps.push(event);
    reached.set(event.process, steps);
  }
  const accepted = history.select('configuration-accepted');
  const byVersion = new Map<number, string>();
  for (const change of accepted) {
    const other = byVersion.get(change.version);
    if (other !== undefined && other !== change.changeId) {
      add(change.at, change.changeId, `accepted as version ${change.version} as was ${other}`);
    }
    byVersion.set(change.version, change.changeId);
  }
  const log = history.select('configuration-log').at(-1);
  for (const change of accepted) {
    if (log && !log.changeIds.includes(change.changeId)) {
      add(log.at, change.changeId, 'was accepted and is not in the log');
    }
  }
  for (const refused of history.select('configuration-refused')) {
    if (log?.changeIds.includes(refused.changeId)) {
      add(log.at, refused.changeId, 'is in the log although it was refused');
    }
  }
  for (const life of getLives(history)) {
    for (const change of accepted) {
      const due = Math.max(change.at, history.getQuietSince(), life.from) + withinMs;
      if (due > life.to) continue;
      const steps = reached.get(life.process) ?? [];
      if (steps.some(step => step.at <= due && step.version >= change.version)) continue;
      add(due, life.process, `version ${change.version} is not in force after ${withinMs} ms`);
    }
  }
  return violations;
}

function getLives(history: History): Array<{process: string; from: number; to: number}> {
  const lives = new Map<string, {process: string; from: number; to: number}>();
  for (const event of history.events) {
    if (event.kind === 'process-started') {
      lives.set(event.process, {process: event.process, from: event.at, to: history.getEnd()});
    } else if (event.kind === 'process-killed' || event.kind === 'shutdown-began') {
      const life = lives.get(event.process);
      if (life) life.to = event.at;
    }
  }
  return [...lives.values()];
}
