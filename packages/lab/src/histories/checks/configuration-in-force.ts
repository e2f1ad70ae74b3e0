import {type History} from '../history.js';
import type {Violation} from '../promise.js';

/**
 * Time in milliseconds within which a change must be in force in every running process. It counts from the acceptance
 * of the change, the end of the faults or the start of the process, whichever is latest.
 */
export const inForceLimitMs = 5_000;

/**
 * P9: an accepted change stays in the log and is in force in every running process within `timeLimitMs` of the latest
 * of three times: its acceptance, the end of the faults and the start of the process. A process never goes back to a
 * lower version, and a version has the same content everywhere. No two accepted changes have the same version, and a
 * refused change is not in the log. Each incarnation has its own process name, so a restarted process may start without
 * a configuration.
 */
export function checkConfigurationInForce(
  history: History,
  timeLimitMs = inForceLimitMs,
): Violation[] {
  const violations: Violation[] = [];
  const add = (at: number, subject: string, detail: string) =>
    violations.push({promise: 'configuration-in-force', at, subject, detail});
  const currentVersions = new Map<string, number>();
  const versionsInForce = new Map<string, Array<{version: number; at: number}>>();
  const digests = new Map<number, string>();
  for (const event of history.select('configuration-in-force')) {
    const previousVersion = currentVersions.get(event.process) ?? -1;
    if (event.version < previousVersion) {
      add(event.at, event.process, `went back from version ${previousVersion} to ${event.version}`);
    }
    currentVersions.set(event.process, event.version);
    const digest = digests.get(event.version);
    if (digest !== undefined && digest !== event.digest) {
      add(event.at, event.process, `has different content for version ${event.version}`);
    }
    digests.set(event.version, event.digest);
    const steps = versionsInForce.get(event.process) ?? [];
    steps.push(event);
    versionsInForce.set(event.process, steps);
  }
  const accepted = history.select('configuration-accepted');
  const changeIdsByVersion = new Map<number, string>();
  for (const change of accepted) {
    const other = changeIdsByVersion.get(change.version);
    if (other !== undefined && other !== change.changeId) {
      add(
        change.at,
        change.changeId,
        `accepted as version ${change.version}, the same as ${other}`,
      );
    }
    changeIdsByVersion.set(change.version, change.changeId);
  }
  const log = history.select('configuration-log').at(-1);
  for (const change of accepted) {
    if (log && !log.changeIds.includes(change.changeId)) {
      add(log.at, change.changeId, 'was accepted but is not in the log');
    }
  }
  for (const refused of history.select('configuration-refused')) {
    if (log?.changeIds.includes(refused.changeId)) {
      add(log.at, refused.changeId, 'is in the log although it was refused');
    }
  }
  for (const life of getProcessLifetimes(history)) {
    for (const change of accepted) {
      const dueAt = Math.max(change.at, history.getFaultsEndedAt(), life.from) + timeLimitMs;
      if (dueAt > life.to) continue;
      const steps = versionsInForce.get(life.process) ?? [];
      if (steps.some(step => step.at <= dueAt && step.version >= change.version)) continue;
      add(dueAt, life.process, `version ${change.version} is not in force after ${timeLimitMs} ms`);
    }
  }
  return violations;
}

/** Returns the time from start to kill or shutdown of each process incarnation. */
function getProcessLifetimes(history: History): Array<{process: string; from: number; to: number}> {
  const lifetimes = new Map<string, {process: string; from: number; to: number}>();
  for (const event of history.events) {
    if (event.kind === 'process-started') {
      lifetimes.set(event.process, {
        process: event.process,
        from: event.at,
        to: history.getEndedAt(),
      });
    } else if (event.kind === 'process-killed' || event.kind === 'shutdown-began') {
      const life = lifetimes.get(event.process);
      if (life) life.to = event.at;
    }
  }
  return [...lifetimes.values()];
}
