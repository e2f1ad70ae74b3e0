import type {StepTasks} from '../active-submission.js';
import type {DispatchState} from '../dispatch-state.js';
import type {RunOrders} from '../run-orders.js';
import type {WorkerView} from '../worker-view.js';
import {orderCandidates, type Candidate} from './submission-order.js';
import type {WorkerChoice} from './worker-choice.js';

/** Starts everything that may start now and has room, in the order of `orderCandidates`. */
export function runPlacementRound(
  state: DispatchState,
  orders: RunOrders,
  choice: WorkerChoice,
  at: number,
): void {
  if (choice.size === 0) return;
  for (const candidate of orderCandidates(state, at)) {
    for (const group of candidate.occurrence.getOpenSteps()) {
      if (group.step.gang) startGang(candidate, group, choice, orders, at);
      else startTasks(candidate, group, choice, orders, at);
    }
  }
}

function startTasks(
  candidate: Candidate,
  group: StepTasks,
  choice: WorkerChoice,
  orders: RunOrders,
  at: number,
): void {
  for (const task of group.tasks) {
    if (!task.isWaiting(at)) continue;
    const worker = choice.choose(task, group, candidate.priority);
    // Tasks of a step need the same room; only what they avoid differs.
    if (worker === undefined) return;
    orders.start(task, worker, at);
    choice.notePlaced(worker);
  }
}

/** Starts all tasks of a gang or none. */
function startGang(
  candidate: Candidate,
  group: StepTasks,
  choice: WorkerChoice,
  orders: RunOrders,
  at: number,
): void {
  const {tasks} = group;
  if (!tasks.every(task => task.isWaiting(at))) return;
  const places: WorkerView[] = [];
  for (const task of tasks) {
    const worker = choice.choose(task, group, candidate.priority);
    if (worker === undefined) break;
    places.push(worker);
    worker.reserve(task.step, 1);
  }
  for (const worker of places) worker.reserve(group.step, -1);
  if (places.length < tasks.length) return;
  const number = Math.max(...tasks.map(task => task.lastRun)) + 1;
  tasks.forEach((task, index) => {
    const worker = places[index];
    if (worker) orders.start(task, worker, at, number);
  });
}
