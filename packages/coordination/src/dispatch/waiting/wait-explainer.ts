import {getTaskName} from '../../submissions/index.js';
import type {DispatchState} from '../dispatch-state.js';
import {findTrialTask, hasRun, selectGangWorkers} from '../placement/step-selection.js';
import {unknownQueuePriority} from '../placement/submission-order.js';
import type {WorkerClosure, WorkerRefusal} from '../placement/worker-refusal.js';
import type {WorkerSelector} from '../placement/worker-selector.js';
import type {StepTasks} from '../step-tasks.js';
import type {Task, TaskHold} from '../task.js';
import type {WaitExplanation, WaitReason} from './wait-explanation.js';

/** Explains why ready steps have no runs, by the predicates of the placement. Serves one time. */
export class WaitExplainer {
  constructor(
    private readonly state: Pick<DispatchState, 'workers' | 'startBudget'>,
    private readonly selector: WorkerSelector,
    private readonly at: number,
  ) {}

  /** Explains why a ready step has no run that works. */
  explain(group: StepTasks): WaitExplanation {
    const {at} = this;
    if (group.step.gang) {
      return group.areAllWaiting(at)
        ? this.explainGang(group)
        : this.explainHolds(group, 'gang-incomplete');
    }
    if (group.isOnTrial) {
      const task = findTrialTask(group, at);
      if (task !== undefined) return this.explainTask(task, group);
      return this.explainHolds(group, hasRun(group) ? 'other-task-on-trial' : undefined);
    }
    const [task] = group.getWaiting(at);
    return task === undefined ? this.explainHolds(group) : this.explainTask(task, group);
  }

  /** Explains a step none of whose tasks may be started; `mixed` is the reason unless all of them have the same one. */
  private explainHolds(group: StepTasks, mixed?: WaitReason): WaitExplanation {
    const {at} = this;
    const holds = group.countHolds(at);
    const held = [...group.knownTasks].filter(task => !task.isFinished && !task.isWaiting(at));
    const suspect =
      group.isOnTrial && !hasRun(group) ? held.find(task => task.crashes.isSuspect) : undefined;
    const hold = suspect?.getHold(at) ?? getMostFrequent(holds);
    const task = suspect ?? held.find(candidate => candidate.getHold(at) === hold);
    const isCommon = hold !== undefined && holds.get(hold) === group.unfinishedCount;
    const delayMs = Math.round((task?.notBefore ?? at) - at);
    return {
      reason: mixed === undefined || isCommon ? toReason(hold, task) : mixed,
      ...describeStep(group, task),
      holds,
      ...(delayMs > 0 && {delayMs}),
    };
  }

  private explainGang(group: StepTasks): WaitExplanation {
    let explanation: WaitExplanation | undefined;
    selectGangWorkers(group, getPriority(group), this.selector, task => {
      explanation = this.explainTask(task, group);
    });
    return explanation ?? this.explainTask(group.getTask(0), group);
  }

  /** Explains why a task is not started that may be. */
  private explainTask(task: Task, group: StepTasks): WaitExplanation {
    const {state, selector, at} = this;
    const closures = new Map<WorkerClosure, number>();
    const refusals = new Map<WorkerRefusal, number>();
    let workers = 0;
    let eligible = 0;
    for (const worker of state.workers.values()) {
      if (worker.description.service !== task.submission.service) continue;
      workers += 1;
      const closure = selector.getClosure(worker);
      if (closure !== undefined) {
        increment(closures, closure);
        continue;
      }
      const refusal = selector.getRefusal(worker, task, group, getPriority(group));
      if (refusal === undefined) eligible += 1;
      else increment(refusals, refusal);
    }
    const getReason = (): WaitReason => {
      if (workers === 0) return 'no-worker';
      if (eligible === 0 && refusals.size === 0) return 'no-open-worker';
      if (selector.isRunLimitReached) return 'run-limit';
      if (eligible === 0) return getRefusalReason(refusals);
      return state.startBudget.getAvailableBytes(at) > 0 ? 'awaiting-round' : 'start-budget';
    };
    const all = new Map([...closures, ...refusals]);
    return {reason: getReason(), ...describeStep(group, task), workers, refusals: all};
  }
}

function getPriority({occurrence}: StepTasks): number {
  return occurrence.submission.queue?.priority ?? unknownQueuePriority;
}

function toReason(hold: TaskHold | undefined, task: Task | undefined): WaitReason {
  if (hold === undefined || hold === 'finished') return 'awaiting-round';
  if (hold !== 'has-run') return hold;
  const states = task?.runs.map(({state}) => state) ?? [];
  if (states.includes('unresolved')) return 'run-unresolved';
  return states.includes('starting') ? 'run-starting' : 'run-stopping';
}

function describeStep(
  {occurrence, index, step, unfinishedCount, firstUnfinishedIndex}: StepTasks,
  task: Task | undefined,
): Pick<WaitExplanation, 'task' | 'tasks' | 'cores'> {
  const {id} = occurrence.submission;
  const name = task?.name ?? getTaskName(id, occurrence.index, index, firstUnfinishedIndex);
  return {task: name, tasks: unfinishedCount, cores: step.need.processors};
}

/** Returns the kind of reason for which most of the open workers do not take a task. */
function getRefusalReason(refusals: ReadonlyMap<WorkerRefusal, number>): WaitReason {
  const tickets = refusals.get('no-ticket') ?? 0;
  const isolated = refusals.get('isolation') ?? 0;
  let others = -tickets - isolated;
  for (const count of refusals.values()) others += count;
  if (others >= Math.max(tickets, isolated)) return 'no-room';
  return tickets >= isolated ? 'no-ticket' : 'isolation';
}

function increment<Key>(counts: Map<Key, number>, key: Key): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

function getMostFrequent<Key>(counts: ReadonlyMap<Key, number>): Key | undefined {
  return [...counts].sort((a, b) => b[1] - a[1])[0]?.[0];
}
