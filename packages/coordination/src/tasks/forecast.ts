import type {Configuration} from '../configuration/document.js';
import type {CellScheduler} from './cell-scheduler.js';
import type {CellState} from './cell/cell-state.js';
import {Job} from './cell/job.js';
import type {TaskRun} from './cell/task-run.js';
import {SchedulingRound, type RoundContext} from './round/scheduling-round.js';

/** Effect of a new configuration on the tasks of one workload; `slow` means that more of them wait. */
export interface ForecastEffect {
  readonly action: 'start' | 'move' | 'slow' | 'stop';
  readonly workload: string;
  /** Number of tasks. */
  readonly tasks: number;
  /** Names of the affected hosts, sorted. */
  readonly hosts: readonly string[];
  readonly reason: string;
}

/** Collects effects, grouped by action, workload and reason. */
class EffectList {
  private readonly groups = new Map<string, {effect: ForecastEffect; hosts: Set<string>}>();

  add(action: ForecastEffect['action'], workload: string, reason: string, host?: string): void {
    const key = `${action} ${workload} ${reason}`;
    const group = this.groups.get(key);
    const hosts = group?.hosts ?? new Set<string>();
    if (host !== undefined) hosts.add(host);
    const tasks = (group?.effect.tasks ?? 0) + 1;
    this.groups.set(key, {effect: {action, workload, tasks, hosts: [], reason}, hosts});
  }

  toArray(): ForecastEffect[] {
    return [...this.groups.values()].map(({effect, hosts}) => ({
      ...effect,
      hosts: [...hosts].sort(),
    }));
  }
}

/**
 * Predicts the effects of a new configuration on the current state of a scheduler, without changing that state. Tasks
 * that would start under the current configuration anyway are not attributed to the new one.
 */
export function predictEffects(
  scheduler: CellScheduler,
  configuration: Configuration,
  at: number,
): readonly ForecastEffect[] {
  const state = scheduler.getState().clone();
  const context = scheduler.getForecastContext(at);
  new SchedulingRound(state, context).run();
  const list = new EffectList();
  const waitingBefore = new Map([...state.jobs.values()].map(job => [job.name, job.waiting]));
  const drainsBefore = state.drains;
  applyWorkloads(state, configuration, list);
  state.applyConfiguration(configuration);
  evacuateDrained(state, drainsBefore, list);
  predictRound(state, context, list);
  predictWaiting(state, waitingBefore, list);
  return list.toArray();
}

function applyWorkloads(state: CellState, configuration: Configuration, list: EffectList): void {
  for (const [name, job] of [...state.jobs]) {
    if (configuration.workloads.has(name)) continue;
    for (const run of [...job.runs.values()]) remove(state, run, list, 'the workload is removed');
    state.jobs.delete(name);
  }
  for (const workload of configuration.workloads.values()) {
    const job = state.jobs.get(workload.name);
    if (!job) {
      state.jobs.set(workload.name, new Job(workload));
      continue;
    }
    job.update(workload);
    for (const run of [...job.runs.values()]) {
      if (run.index < workload.tasks) continue;
      remove(state, run, list, `the number of tasks is lowered to ${workload.tasks}`);
    }
  }
}

function remove(state: CellState, run: TaskRun, list: EffectList, reason: string): void {
  list.add('stop', run.workload, reason, run.host);
  state.removeRun(run);
}

/** Moves tasks off newly drained hosts; batch tasks without checkpoints finish there. */
function evacuateDrained(
  state: CellState,
  drainsBefore: ReadonlySet<string>,
  list: EffectList,
): void {
  for (const host of state.hosts.values()) {
    if (!state.drains.has(host.name) || drainsBefore.has(host.name)) continue;
    for (const run of [...host.runs.values()]) {
      const job = state.jobs.get(run.workload);
      if (!job) continue;
      if (run.kind === 'batch' && job.workload.checkpointSeconds === undefined) continue;
      list.add('move', run.workload, `host ${host.name} is drained`, host.name);
      state.removeRun(run);
      job.requeue(run.index);
    }
  }
}

function predictRound(state: CellState, context: RoundContext, list: EffectList): void {
  const moved = new Set(list.toArray().map(effect => `${effect.action} ${effect.workload}`));
  for (const decision of new SchedulingRound(state, context).run()) {
    if (decision.kind === 'start') {
      const {workload, host} = decision.run;
      // Restarts of moved tasks are part of the move, so no start of their workload is listed.
      if (moved.has(`move ${workload}`)) continue;
      list.add('start', workload, 'there is room', host);
    } else if (decision.kind === 'stop') {
      const {workload, host} = decision.run;
      const reason = `makes room for ${decision.beneficiary ?? 'other work'}; resumes from its checkpoint`;
      list.add('move', workload, reason, host);
    }
  }
}

/** Lists jobs as slowed when more of their tasks wait than before, and jobs that no host can run. */
function predictWaiting(
  state: CellState,
  waitingBefore: ReadonlyMap<string, number>,
  list: EffectList,
): void {
  for (const job of state.jobs.values()) {
    const waiting = waitingBefore.get(job.name);
    const additionalWaiting = job.waiting - (waiting ?? 0);
    if (job.neverRunnable !== undefined) {
      list.add('slow', job.name, `can never run: no host has enough ${job.neverRunnable}`);
    } else if (additionalWaiting > 0) {
      const reason = waiting === undefined ? 'waits for room' : 'more tasks wait for room';
      for (let task = 0; task < additionalWaiting; task += 1) list.add('slow', job.name, reason);
    }
  }
}
