import type {StepTasks} from '../step-tasks.js';
import type {Task} from '../task.js';
import type {WorkerView} from '../worker-view.js';
import type {WorkerSelector} from './worker-selector.js';

/** A task and the worker that it is to be started on. */
export interface TaskPlacement {
  readonly task: Task;
  readonly worker: WorkerView;
}

/** Whether a task of a step has a run; on trial, the others wait for what becomes of it. */
export function hasRun({knownTasks}: StepTasks): boolean {
  for (const {runs} of knownTasks) if (runs.length > 0) return true;
  return false;
}

/** Returns the task of a step on trial that may be started next, or undefined when there is none. */
export function findTrialTask(group: StepTasks, at: number): Task | undefined {
  if (hasRun(group)) return undefined;
  return [...group.knownTasks].find(task => task.crashes.isSuspect && task.isWaiting(at));
}

/**
 * Selects workers for all tasks of a gang, or for none when one of them does not fit beside the others; `onMisfit` is called for
 * that one while the room of the others is reserved.
 */
export function selectGangWorkers(
  group: StepTasks,
  priority: number,
  selector: WorkerSelector,
  onMisfit: (task: Task) => void = () => {},
): readonly TaskPlacement[] {
  const placements: TaskPlacement[] = [];
  for (let index = 0; index < group.count; index += 1) {
    const task = group.getTask(index);
    const worker = selector.selectWorker(task, group, priority);
    if (worker === undefined) {
      onMisfit(task);
      break;
    }
    placements.push({task, worker});
    worker.reserve(task.step, 1);
  }
  for (const {worker} of placements) worker.reserve(group.step, -1);
  return placements.length < group.count ? [] : placements;
}
