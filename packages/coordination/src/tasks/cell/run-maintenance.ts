import type {CellState} from './cell-state.js';
import type {Job} from './job.js';
import type {TaskRun} from './task-run.js';
import {possiblyRunningLimitMs} from '../timing.js';

/** Time after which an unanswered stop message is resent. */
const stopRetryMs = 3_000;

/**
 * Removes lost runs whose leases have certainly expired and requeues their tasks; returns how many. Also removes hosts
 * that have been disconnected for longer than `possiblyRunningLimitMs`.
 */
export function releaseLostRuns(state: CellState, at: number): number {
  let released = 0;
  for (const host of state.hosts.values()) {
    for (const run of [...host.runs.values()]) {
      if (run.state !== 'lost' || run.releaseAt > at) continue;
      state.removeRun(run)?.requeue(run.index);
      released += 1;
    }
    const isExpired =
      !host.isUp && host.runs.size === 0 && at - host.heartbeatReceivedAt > possiblyRunningLimitMs;
    if (isExpired) state.hosts.delete(host.name);
  }
  return released;
}

/** Returns the runs whose stop message is due to be resent. */
export function findUnansweredStops(state: CellState, at: number): TaskRun[] {
  return [...state.runs.values()].filter(
    run => run.state === 'stopping' && at - run.stopSentAt >= stopRetryMs,
  );
}

/**
 * Returns the runs to stop on drained hosts now: batch tasks with checkpoints, and one replica at a time of each service
 * or watch whose replicas are all running. Batch tasks without checkpoints are left to finish.
 */
export function findDrainableRuns(state: CellState): TaskRun[] {
  const found: TaskRun[] = [];
  const workloadsFound = new Set<string>();
  for (const host of state.hosts.values()) {
    if (!state.isDrained(host)) continue;
    for (const run of host.runs.values()) {
      const job = state.jobs.get(run.workload);
      if (run.state !== 'running' || !job) continue;
      if (run.kind === 'batch') {
        if (job.workload.checkpointSeconds !== undefined) found.push(run);
      } else if (!workloadsFound.has(run.workload) && isFullyRunning(job)) {
        workloadsFound.add(run.workload);
        found.push(run);
      }
    }
  }
  return found;
}

function isFullyRunning(job: Job): boolean {
  if (job.waiting > 0) return false;
  for (const run of job.runs.values()) if (run.state !== 'running') return false;
  return true;
}
