import type {StepTasks} from '../step-tasks.js';
import type {DispatchState} from '../dispatch-state.js';
import type {RunCommands} from '../run-commands.js';
import type {Task} from '../task.js';
import type {AdviceTickets} from './advice-tickets.js';
import type {FillerPreemption} from './filler-preemption.js';
import type {RoomReservations} from './room-reservations.js';
import type {StarvationGuard} from './starvation-guard.js';
import {findTrialTask, selectGangWorkers} from './step-selection.js';
import type {Candidate} from './submission-order.js';
import type {WorkerSelector} from './worker-selector.js';

/** What a placement round uses. */
export interface PlacementRoundOptions {
  readonly state: DispatchState;
  readonly commands: RunCommands;
  readonly selector: WorkerSelector;
  readonly reservations: RoomReservations;
  readonly tickets: AdviceTickets;
  readonly starvation: StarvationGuard;
  readonly preemption: FillerPreemption;
}

/**
 * Starts every waiting task that fits on a worker, in the order of the candidates. Ends early when the budget for
 * start commands is used up; the next round continues.
 */
export function runPlacementRound(
  candidates: readonly Candidate[],
  options: PlacementRoundOptions,
  at: number,
): void {
  const {state, selector} = options;
  if (!selector.hasOpenWorkers) return;
  for (const candidate of options.starvation.getStarving(candidates, at)) {
    startFirst(candidate, options, at);
  }
  for (const candidate of candidates) {
    for (const group of candidate.steps) {
      if (!state.startBudget.isOpen(at)) return;
      if (group.step.gang) startGang(candidate, group, options, at);
      else if (group.isOnTrial) startSuspect(candidate, group, options, at);
      else startTasks(candidate, group, options, at);
    }
  }
}

/** Starts one task, or one gang, of a candidate's first step with waiting tasks. */
function startFirst(candidate: Candidate, options: PlacementRoundOptions, at: number): void {
  const {state, selector, commands} = options;
  const [group] = candidate.steps;
  if (group === undefined || !state.startBudget.isOpen(at)) return;
  if (group.step.gang) return startGang(candidate, group, options, at);
  if (group.isOnTrial) return startSuspect(candidate, group, options, at);
  const [task] = group.getWaiting(at);
  const worker = task && selector.selectWorker(task, group, candidate.priority);
  if (task === undefined || worker === undefined) return;
  state.count('runs_started_starving');
  options.starvation.recordStart(commands.start(task, worker, at));
  selector.recordPlacement(worker);
}

function startTasks(
  candidate: Candidate,
  group: StepTasks,
  options: PlacementRoundOptions,
  at: number,
): void {
  const {state, commands, selector} = options;
  for (const task of group.getWaiting(at)) {
    if (!state.startBudget.isOpen(at)) return;
    const worker = selector.selectWorker(task, group, candidate.priority);
    // The tasks of a step need the same resources, so the others do not fit either; only `avoidedWorkers` differs.
    if (worker === undefined) {
      makeRoom(task, candidate, group, options, at);
      // Each task that restarts needs room of its own, and another one may have it already.
      if (!options.reservations.canReserve(task)) return;
      continue;
    }
    commands.start(task, worker, at);
    selector.recordPlacement(worker);
  }
}

/** Prepares room for a task that fits on no worker. */
function makeRoom(
  task: Task,
  candidate: Candidate,
  group: StepTasks,
  options: PlacementRoundOptions,
  at: number,
): void {
  const {selector, reservations, preemption} = options;
  requestTickets(group, options, at);
  preemption.makeRoom(task, candidate);
  if (!reservations.canReserve(task)) return;
  reservations.request(task, selector.getCandidates(task, group), at);
}

/** Starts one task of a step that may crash workers, unless another one runs; the others wait for what becomes of it. */
function startSuspect(
  candidate: Candidate,
  group: StepTasks,
  options: PlacementRoundOptions,
  at: number,
): void {
  const {commands, selector} = options;
  const task = findTrialTask(group, at);
  if (task === undefined) return;
  const worker = selector.selectWorker(task, group, candidate.priority);
  if (worker === undefined) return makeRoom(task, candidate, group, options, at);
  commands.start(task, worker, at);
  selector.recordPlacement(worker);
}

/** Starts all tasks of a gang, with the same run number, or none of them. */
function startGang(
  candidate: Candidate,
  group: StepTasks,
  options: PlacementRoundOptions,
  at: number,
): void {
  const {selector, commands} = options;
  if (!group.areAllWaiting(at)) return;
  const placements = selectGangWorkers(group, candidate.priority, selector);
  if (placements.length === 0) {
    requestTickets(group, options, at);
    return;
  }
  const runNumber = placements.reduce((max, {task}) => Math.max(max, task.lastRunNumber), 0) + 1;
  for (const {task, worker} of placements) commands.start(task, worker, at, runNumber);
}

/** Requests tickets for a step that has a task without a worker, if its queue needs them. */
function requestTickets(
  group: StepTasks,
  {selector, tickets}: PlacementRoundOptions,
  at: number,
): void {
  const task = group.getTask(0);
  if (!tickets.isNeeded(task)) return;
  tickets.request(group, selector.getCandidates(task, group), at);
}
