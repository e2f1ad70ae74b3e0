import type {Estimate} from '../../tasks/round/run-time-estimates.js';
import type {DispatchState} from '../dispatch-state.js';
import type {InterferenceModel, LearnedInterference} from '../interference/interference-model.js';
import type {LearnedEvidence} from '../supervision/worker-evidence.js';
import type {WorkerView} from '../worker-view.js';

/** Largest numbers of items that are handed on; those of the loads have about 5 KB each, the others some 50 bytes. */
export const maxLearnedRunTimes = 400;
export const maxLearnedPairs = 200;
export const maxLearnedLoads = 24;
export const maxLearnedWorkers = 600;
/** Difference of the slowness from 1 from which it is handed on. */
const minSlownessDifference = 0.02;

/** What an owner has learned of the run times of a queue. */
export interface LearnedRunTimes extends Readonly<Estimate> {
  readonly queue: string;
}

/** What an owner has learned of a worker incarnation. */
export interface LearnedWorker {
  readonly life: string;
  readonly slowness: number;
  readonly evidence?: LearnedEvidence;
}

/**
 * What an owner has learned and hands on to its successor. It only improves decisions: nothing of it is needed, and all times
 * are relative to that of the record.
 */
export interface LearnedState extends LearnedInterference {
  readonly runTimes: readonly LearnedRunTimes[];
  readonly workers: readonly LearnedWorker[];
}

/** Returns what an owner has learned. */
export function collectLearnedState(
  state: DispatchState,
  interference: InterferenceModel,
  at: number,
): LearnedState {
  const runTimes = [...state.getLearnedRunTimes()].sort((a, b) => b.count - a.count);
  const workers = [...state.workers.values()].flatMap(worker => describeWorker(worker, at) ?? []);
  return {
    runTimes: runTimes.slice(0, maxLearnedRunTimes),
    workers: [...workers, ...state.learnedWorkers.values()].slice(0, maxLearnedWorkers),
    ...interference.getLearned(at, maxLearnedPairs, maxLearnedLoads),
  };
}

/** Continues with what another owner had learned at `at`. Returns the number of items that are used. */
export function restoreLearnedState(
  learned: LearnedState,
  state: DispatchState,
  interference: InterferenceModel,
  at: number,
): number {
  const runTimes = learned.runTimes.filter(({queue, ...estimate}) =>
    state.restoreRunTimes(queue, estimate),
  );
  for (const worker of learned.workers) state.learnedWorkers.set(worker.life, worker);
  return runTimes.length + learned.workers.length + interference.restore(learned, at);
}

/** Continues with what another owner has learned of a worker incarnation that this one sees for the first time. */
export function restoreLearnedWorker(worker: WorkerView, state: DispatchState, at: number): void {
  const learned = state.learnedWorkers.get(worker.life);
  if (learned === undefined) return;
  state.learnedWorkers.delete(worker.life);
  worker.slowness = learned.slowness;
  if (learned.evidence) worker.health.restore(learned.evidence, at);
}

function describeWorker(worker: WorkerView, at: number): LearnedWorker | undefined {
  const {life, slowness, health} = worker;
  const evidence = health.getLearned(at);
  if (evidence === undefined && Math.abs(slowness - 1) < minSlownessDifference) return undefined;
  return {life, slowness, ...(evidence && {evidence})};
}
