import {fits} from '../../tasks/amounts.js';
import type {DispatchState} from '../dispatch-state.js';
import type {RunCommands} from '../run-commands.js';
import type {Run, Task} from '../task.js';
import type {WorkerView} from '../worker-view.js';

/** Time in milliseconds that a reservation waits for runs to end by themselves before it stops some of them. */
const preemptAfterMs = 1_000;
/** Largest fraction of the workers that have a reservation at a time; the others keep taking all work. */
const maxReservedShare = 0.25;

/** Room on a worker that is kept free for one task. */
interface Reservation {
  readonly task: Task;
  readonly worker: WorkerView;
  readonly since: number;
  /** Whether the task still has a run elsewhere, which is being stopped. */
  readonly isMove: boolean;
  hasPreempted: boolean;
}

/**
 * Reserves room for serving tasks that have to restart. On a full service, finite tasks take every piece of room as
 * soon as it is free, so a serving task that needs a large piece would wait as long as the load lasts. A reservation
 * keeps the room that the task had, or makes room on another worker: finite tasks on it are not replaced when they end
 * and, after `preemptAfterMs`, those that lose the least work are stopped. It ends when the task runs or is not needed.
 */
export class RoomReservations {
  private readonly reservations = new Map<Task, Reservation>();

  constructor(
    private readonly state: DispatchState,
    private readonly commands: RunCommands,
  ) {}

  /** Returns whether a task may get a reservation: a serving task that has been running before. */
  canReserve(task: Task): boolean {
    return task.step.lasting && !task.step.fills && task.hasStarted;
  }

  /** Keeps the room of a run that has ended on a sound worker for the next run of its task. */
  keepRoom(task: Task, worker: WorkerView, at: number): void {
    if (!this.canReserve(task) || !this.hasCapacity() || worker.health.isSuspended(at)) return;
    if (this.state.isEvacuated(worker)) return;
    this.add(task, worker, at, 'room-kept');
  }

  /** Reserves room for a task that fits on no worker, on the candidate on which the least work is lost. */
  request(task: Task, candidates: readonly WorkerView[], at: number): void {
    if (!this.canReserve(task) || this.reservations.has(task) || !this.hasCapacity()) return;
    let best: WorkerView | undefined;
    let bestLoss = Number.POSITIVE_INFINITY;
    for (const worker of candidates) {
      if (this.isReserved(worker)) continue;
      const victims = getVictims(worker, task, at);
      const loss = victims && getTotalLoss(victims, at);
      if (loss === undefined || loss >= bestLoss) continue;
      best = worker;
      bestLoss = loss;
    }
    if (best !== undefined) this.add(task, best, at, 'no-room');
  }

  /** Reserves free room for a serving task whose run elsewhere is about to be stopped; returns whether it could. */
  reserveMove(task: Task, worker: WorkerView, at: number): boolean {
    if (!this.canReserve(task) || !this.hasCapacity()) return false;
    this.add(task, worker, at, 'evacuation', true);
    return true;
  }

  /** Whether a task fits on a worker beside the reservations of other tasks. */
  fits(worker: WorkerView, task: Task): boolean {
    let {processors, memoryMb} = worker.used;
    for (const {task: other, worker: reserved} of this.reservations.values()) {
      if (reserved !== worker || other === task) continue;
      processors += other.step.need.processors;
      memoryMb += other.step.need.memoryMb;
    }
    const {need, fills} = task.step;
    const {capacity} = worker;
    if (memoryMb + need.memoryMb > capacity.memoryMb) return false;
    return fills || processors + need.processors <= capacity.processors;
  }

  /** Whether a worker has a reservation. */
  isReserved(worker: WorkerView): boolean {
    for (const reservation of this.reservations.values()) {
      if (reservation.worker === worker) return true;
    }
    return false;
  }

  /** Removes reservations that have become needless, and stops runs for those that have waited too long. */
  update(at: number): void {
    for (const reservation of [...this.reservations.values()]) {
      if (!this.isNeeded(reservation, at)) this.reservations.delete(reservation.task);
      else if (!reservation.hasPreempted && at - reservation.since >= preemptAfterMs) {
        this.preempt(reservation, at);
      }
    }
  }

  /** Removes all reservations. */
  clear(): void {
    this.reservations.clear();
  }

  private hasCapacity(): boolean {
    return this.reservations.size < Math.max(1, this.state.workers.size * maxReservedShare);
  }

  private add(task: Task, worker: WorkerView, at: number, reason: string, isMove = false): void {
    this.reservations.set(task, {task, worker, since: at, isMove, hasPreempted: false});
    this.state.count('room_reservations');
    this.state.log({
      event: 'room-reserved',
      submission: task.submission.id,
      task: task.name,
      worker: worker.life,
      reason,
      freeCores: worker.capacity.processors - worker.used.processors,
    });
  }

  private isNeeded({task, worker, isMove}: Reservation, at: number): boolean {
    if (task.isFinished || !task.submission.isActive) return false;
    if (isMove ? task.runs.some(isWanted) : task.runs.length > 0) return false;
    const isReachable = this.state.isReachable(worker, at);
    const isCurrent = this.state.workers.get(worker.agent) === worker;
    if (this.state.isEvacuated(worker)) return false;
    return isCurrent && isReachable && !worker.isDraining && !worker.health.isSuspended(at);
  }

  private preempt(reservation: Reservation, at: number): void {
    reservation.hasPreempted = true;
    for (const run of getVictims(reservation.worker, reservation.task, at) ?? []) {
      if (run.state === 'running') this.commands.stop(run, 'room-for-serving-task', at);
    }
  }
}

/** Whether a run is not being stopped. */
function isWanted({state}: Run): boolean {
  return state === 'starting' || state === 'running';
}

/**
 * Returns the finite runs that have to end before a task fits on a worker, those that lose the least work first;
 * undefined when it does not fit even without all of them. Filling runs have no processors reserved and may stay.
 */
function getVictims(worker: WorkerView, task: Task, at: number): Run[] | undefined {
  const {need} = task.step;
  const used = {...worker.used};
  const victims: Run[] = [];
  const finite = [...worker.runs.values()].filter(({task: other}) => !other.step.lasting);
  finite.sort((a, b) => getLoss(a, at) - getLoss(b, at));
  for (const run of finite) {
    if (fits(worker.capacity, used, need)) break;
    const {need: freed, fills} = run.task.step;
    if (fills && used.memoryMb + need.memoryMb <= worker.capacity.memoryMb) continue;
    if (!fills) used.processors -= freed.processors;
    used.memoryMb -= freed.memoryMb;
    used.accelerators -= freed.accelerators;
    victims.push(run);
  }
  return fits(worker.capacity, used, need) ? victims : undefined;
}

function getTotalLoss(runs: readonly Run[], at: number): number {
  let loss = 0;
  for (const run of runs) loss += getLoss(run, at);
  return loss;
}

/** Returns the work in core-milliseconds that is lost when a run is stopped; checkpoints save nearly all of it. */
function getLoss(run: Run, at: number): number {
  const {step} = run.task;
  return step.checkpoints ? 0 : (at - run.startedAt) * step.need.processors;
}
