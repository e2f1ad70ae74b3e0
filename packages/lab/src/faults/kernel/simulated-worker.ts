import type {Resources} from '@chervilbeam/coordination';
import type {RunEnd} from '../../histories/history-event.js';
import {createCarriage, type InteractionListener, type Point} from './interaction.js';
import type {SimulatedProcess} from './simulated-process.js';
import type {Simulation} from './simulation.js';

/** State of a task at the worker. */
export interface WorkerTaskState {
  readonly task: string;
  readonly attempt: number;
  readonly workload: string;
  readonly resources: Resources;
  state: 'running' | 'finished' | 'failed' | 'stopped';
  leaseEndsAt: number;
  checkpoint?: string;
  /** Whether the checkpoint was taken in this run. */
  ownCheckpoint: boolean;
  readonly startedAt: number;
  /** Work that the checkpoint of the start had already done. */
  readonly doneBeforeMs: number;
}

/** A call of the agent to its worker. */
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

/** Answer to a call. */
export interface WorkerReply {
  readonly ok: boolean;
  readonly checkpoint?: string;
  readonly detail?: string;
}

/** Worker of one host: runs tasks under leases, whatever becomes of its agent. */
export class SimulatedWorker {
  listener: InteractionListener = () => {};
  alive = true;
  failingUntil = 0;
  term = 0;
  readonly tasks = new Map<string, WorkerTaskState>();
  /** Highest attempt of each task that was told to stop; its start may still be on its way. */
  readonly #stopped = new Map<string, number>();

  constructor(
    private readonly simulation: Simulation,
    readonly host: string,
    readonly capacity: Resources,
    /** Run time of a batch item by workload; services run until they are stopped. */
    private readonly getRunTimeMs: (workload: string) => number | undefined,
  ) {
    simulation.record({kind: 'host-capacity', host, capacity});
  }

  /** Carries out a call and answers the present life of the agent; without an answer when it is down. */
  call(agent: SimulatedProcess, call: WorkerCall, onReply: (reply: WorkerReply) => void): void {
    const carriage = createCarriage();
    const tell = (point: Point) =>
      this.listener({
        step: `worker:${call.action}`,
        point,
        from: agent.name,
        to: `worker:${this.host}`,
        carriage,
      });
    const {life} = agent;
    tell('before-send');
    if (!agent.alive || agent.life !== life) return;
    let settled = false;
    const settle = (reply: WorkerReply) => {
      if (settled || agent.life !== life) return;
      settled = true;
      agent.deliver(() => {
        if (agent.life !== life) return;
        onReply(reply);
        tell('after-answer');
      });
    };
    // A call that the worker does not answer fails after a timeout, whether it took effect or not.
    this.simulation.schedule(1_000, () => settle({ok: false, detail: 'timeout'}));
    for (let copy = 0; copy <= carriage.copies; copy++) {
      this.simulation.schedule(1 + carriage.delayMs + copy * 50, () => {
        tell('before-effect');
        if (!this.alive || carriage.lost) return;
        const reply = this.#apply(call);
        tell('before-answer');
        if (carriage.lost) return;
        this.simulation.schedule(1, () => settle(reply));
      });
    }
  }

  /** Kills the worker with its tasks for a time. It comes back empty. */
  kill(durationMs: number): void {
    this.alive = false;
    for (const task of this.tasks.values()) this.#endRun(task, 'lost');
    this.tasks.clear();
    this.#stopped.clear();
    this.simulation.schedule(durationMs, () => (this.alive = true));
  }

  #apply(call: WorkerCall): WorkerReply {
    if (call.term < this.term) return {ok: false, detail: 'stale term'};
    this.term = call.term;
    const known = this.tasks.get(call.task);
    const current = known?.attempt === call.attempt ? known : undefined;
    switch (call.action) {
      case 'start':
        return this.#start(call, known);
      case 'renew':
        if (current?.state !== 'running') return {ok: false, detail: 'not running'};
        this.#setLease(current, call.leaseMs ?? 0);
        return {ok: true};
      case 'checkpoint':
        if (current?.state !== 'running') return {ok: false, detail: 'not running'};
        current.checkpoint = `${call.task}:${call.attempt}:${Math.floor(this.#getDoneMs(current))}`;
        current.ownCheckpoint = true;
        return {ok: true, checkpoint: current.checkpoint};
      case 'throttle':
        return {ok: current?.state === 'running'};
      case 'stop': {
        this.#stopped.set(call.task, Math.max(call.attempt, this.#stopped.get(call.task) ?? 0));
        if (!current) return {ok: true};
        this.#endRun(current, current.ownCheckpoint ? 'checkpointed' : 'stopped');
        this.tasks.delete(call.task);
        return {ok: true, checkpoint: current.checkpoint};
      }
    }
  }

  #start(call: WorkerCall, known: WorkerTaskState | undefined): WorkerReply {
    if (known?.attempt === call.attempt) return {ok: known.state === 'running'};
    if (known?.state === 'running') return {ok: false, detail: 'another attempt is running'};
    const stopped = this.#stopped.get(call.task) ?? 0;
    if (stopped >= call.attempt || (known && known.attempt > call.attempt))
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
      ownCheckpoint: false,
      startedAt: this.simulation.now,
      doneBeforeMs: Number(call.checkpoint?.split(':').at(-1) ?? 0),
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
      this.simulation.schedule(runTimeMs - task.doneBeforeMs, () => {
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
      checkpoint: task.ownCheckpoint ? task.checkpoint : undefined,
    });
  }

  #getDoneMs(task: WorkerTaskState): number {
    return task.doneBeforeMs + this.simulation.now - task.startedAt;
  }
}
