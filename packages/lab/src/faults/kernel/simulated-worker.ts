import type {Resources} from '@chervilbeam/coordination';
import type {RunEnd} from '../../histories/history-event.js';
import {createDelivery, type InteractionListener, type InjectionPoint} from './interaction.js';
import type {SimulatedProcess} from './simulated-process.js';
import type {Simulation} from './simulation.js';

/** A task as its worker sees it. */
export interface WorkerTaskState {
  readonly task: string;
  readonly attempt: number;
  readonly workload: string;
  readonly resources: Resources;
  state: 'running' | 'finished' | 'failed' | 'stopped';
  /** Virtual time in milliseconds at which the lease expires. */
  leaseEndsAt: number;
  checkpoint?: string;
  /** Whether this run took the checkpoint; false when the run started from it. */
  hasOwnCheckpoint: boolean;
  /** Virtual time in milliseconds at which the run started. */
  readonly startedAt: number;
  /** Progress in milliseconds of run time that the start's checkpoint already contained. */
  readonly progressAtStartMs: number;
}

/** A call from the agent to its worker. */
export interface WorkerCall {
  readonly task: string;
  readonly attempt: number;
  readonly action: 'start' | 'renew' | 'checkpoint' | 'throttle' | 'stop';
  readonly term: number;
  readonly leaseMs?: number;
  readonly workload?: string;
  readonly resources?: Resources;
  readonly checkpoint?: string;
}

/** Answer of the worker to a call. */
export interface WorkerReply {
  readonly ok: boolean;
  readonly checkpoint?: string;
  readonly detail?: string;
}

/** Worker of one host. It runs each task until its lease expires, also while the agent is down. */
export class SimulatedWorker {
  /** Called for each call at each injection point. */
  listener: InteractionListener = () => {};
  /** Whether the worker runs; while it is down, calls get no answer. */
  isAlive = true;
  /** Virtual time in milliseconds until which every start fails. */
  failingUntil = 0;
  /** Highest term seen; calls with a lower one are refused. */
  term = 0;
  /** Tasks by id, including those that ended and were not stopped yet. */
  readonly tasks = new Map<string, WorkerTaskState>();
  /** Highest stopped attempt of each task; a late start of that attempt or of an earlier one is refused. */
  readonly #highestStoppedAttempts = new Map<string, number>();

  constructor(
    private readonly simulation: Simulation,
    readonly host: string,
    readonly capacity: Resources,
    /** Returns the run time of one batch task of a workload; undefined for services, which run until stopped. */
    private readonly getRunTimeMs: (workload: string) => number | undefined,
  ) {
    simulation.record({kind: 'host-capacity', host, capacity});
  }

  /** Executes a call and answers the agent, unless the agent restarts first. A worker that is down does not answer. */
  call(agent: SimulatedProcess, call: WorkerCall, onReply: (reply: WorkerReply) => void): void {
    const delivery = createDelivery();
    const notifyListener = (point: InjectionPoint) =>
      this.listener({
        step: `worker:${call.action}`,
        point,
        from: agent.name,
        to: `worker:${this.host}`,
        delivery,
      });
    const {life} = agent;
    notifyListener('before-send');
    if (!agent.isAlive || agent.life !== life) return;
    let isSettled = false;
    const settle = (reply: WorkerReply) => {
      if (isSettled || agent.life !== life) return;
      isSettled = true;
      agent.deliver(() => {
        if (agent.life !== life) return;
        onReply(reply);
        notifyListener('after-answer');
      });
    };
    // A call without an answer fails after a timeout, although it may have taken effect.
    this.simulation.schedule(1_000, () => settle({ok: false, detail: 'timeout'}));
    for (let copy = 0; copy <= delivery.copies; copy++) {
      this.simulation.schedule(1 + delivery.delayMs + copy * 50, () => {
        notifyListener('before-effect');
        if (!this.isAlive || delivery.lost) return;
        const reply = this.#apply(call);
        notifyListener('before-answer');
        if (delivery.lost) return;
        this.simulation.schedule(1, () => settle(reply));
      });
    }
  }

  /** Kills the worker and its tasks, and restarts it without tasks after a time. */
  kill(durationMs: number): void {
    this.isAlive = false;
    for (const task of this.tasks.values()) this.#endRun(task, 'lost');
    this.tasks.clear();
    this.#highestStoppedAttempts.clear();
    this.simulation.schedule(durationMs, () => (this.isAlive = true));
  }

  #apply(call: WorkerCall): WorkerReply {
    if (call.term < this.term) return {ok: false, detail: 'stale term'};
    this.term = call.term;
    const existing = this.tasks.get(call.task);
    const current = existing?.attempt === call.attempt ? existing : undefined;
    switch (call.action) {
      case 'start':
        return this.#start(call, existing);
      case 'renew':
        if (current?.state !== 'running') return {ok: false, detail: 'not running'};
        this.#setLease(current, call.leaseMs ?? 0);
        return {ok: true};
      case 'checkpoint':
        if (current?.state !== 'running') return {ok: false, detail: 'not running'};
        current.checkpoint = `${call.task}:${call.attempt}:${Math.floor(this.#getProgressMs(current))}`;
        current.hasOwnCheckpoint = true;
        return {ok: true, checkpoint: current.checkpoint};
      case 'throttle':
        return {ok: current?.state === 'running'};
      case 'stop': {
        this.#highestStoppedAttempts.set(
          call.task,
          Math.max(call.attempt, this.#highestStoppedAttempts.get(call.task) ?? 0),
        );
        if (!current) return {ok: true};
        this.#endRun(current, current.hasOwnCheckpoint ? 'checkpointed' : 'stopped');
        this.tasks.delete(call.task);
        return {ok: true, checkpoint: current.checkpoint};
      }
    }
  }

  #start(call: WorkerCall, existing: WorkerTaskState | undefined): WorkerReply {
    if (existing?.attempt === call.attempt) return {ok: existing.state === 'running'};
    if (existing?.state === 'running') return {ok: false, detail: 'another attempt is running'};
    const stopped = this.#highestStoppedAttempts.get(call.task) ?? 0;
    if (stopped >= call.attempt || (existing && existing.attempt > call.attempt))
      return {ok: false, detail: 'stale attempt'};
    if (this.failingUntil > this.simulation.now) return {ok: false, detail: 'cannot start'};
    const task: WorkerTaskState = {
      task: call.task,
      attempt: call.attempt,
      workload: call.workload ?? '',
      resources: call.resources!,
      state: 'running',
      leaseEndsAt: 0,
      checkpoint: call.checkpoint,
      hasOwnCheckpoint: false,
      startedAt: this.simulation.now,
      progressAtStartMs: Number(call.checkpoint?.split(':').at(-1) ?? 0),
    };
    this.tasks.set(call.task, task);
    this.simulation.record({
      kind: 'run-started',
      task: task.task,
      attempt: task.attempt,
      host: this.host,
      resources: task.resources,
      checkpoint: task.checkpoint,
    });
    this.#setLease(task, call.leaseMs ?? 0);
    const runTimeMs = this.getRunTimeMs(task.workload);
    if (runTimeMs !== undefined) {
      this.simulation.schedule(runTimeMs - task.progressAtStartMs, () => {
        if (task.state !== 'running') return;
        this.#endRun(task, 'finished');
        task.state = 'finished';
      });
    }
    return {ok: true};
  }

  #setLease(task: WorkerTaskState, leaseMs: number): void {
    task.leaseEndsAt = this.simulation.now + leaseMs;
    this.simulation.schedule(leaseMs, () => {
      if (task.state !== 'running' || task.leaseEndsAt > this.simulation.now) return;
      this.#endRun(task, 'lost');
    });
  }

  #endRun(task: WorkerTaskState, end: RunEnd): void {
    if (task.state !== 'running') return;
    task.state = 'stopped';
    this.simulation.record({
      kind: 'run-ended',
      task: task.task,
      attempt: task.attempt,
      host: this.host,
      end,
      checkpoint: task.hasOwnCheckpoint ? task.checkpoint : undefined,
    });
  }

  #getProgressMs(task: WorkerTaskState): number {
    return task.progressAtStartMs + this.simulation.now - task.startedAt;
  }
}
