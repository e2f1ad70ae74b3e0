import type {
  AgentTasksEffect,
  AttemptState,
  Resources,
  Usage,
  WorkerTask,
} from '@chervilbeam/coordination';

type WorkerCall = Extract<AgentTasksEffect, {kind: 'worker-call'}>;

/** A task on a virtual worker. Work is measured in milliseconds at full speed. */
export interface VirtualTask {
  readonly task: string;
  readonly attempt: number;
  readonly workload: string;
  readonly resources: Resources;
  readonly workMs: number;
  /** Completed work. */
  doneMs: number;
  /** Completed work at the last checkpoint. */
  checkpointedMs: number;
  /** Virtual time up to which `doneMs` is computed. */
  updatedAt: number;
  /** Virtual time at which the lease expires. */
  leaseUntil: number;
  /** Fraction of its processors that a throttled task may use; 1 is unthrottled. */
  fraction: number;
  /** Speed relative to full speed, from the speed model. */
  speed: number;
  state: AttemptState;
}

/** Simulated behaviour of a task on the virtual worker. */
export interface TaskBehaviour {
  /** Work in milliseconds at full speed; infinite for services and watches. */
  readonly workMs: number;
  /** Work between two checkpoints, in milliseconds; absent when the task cannot checkpoint. */
  readonly checkpointIntervalMs?: number;
  /** Whether every start of the task fails. */
  readonly shouldFailStart?: boolean;
  /** Ratio of the processors that the task uses to `baseProcessors`; 1 when absent. */
  readonly sizeFactor?: number;
  /**
   * Millicores that the task uses at a `sizeFactor` of 1; those in the start command when absent. Set where the
   * scheduler may reserve a learned number instead of the declared one.
   */
  readonly baseProcessors?: number;
}

/** Returns the speed of a task among all that run on its worker; 1 is full speed. */
export type SpeedModel = (task: VirtualTask, running: readonly VirtualTask[]) => number;

/** Result of an agent's call to the worker. */
export interface WorkerCallResult {
  readonly ok: boolean;
  readonly checkpoint?: string;
  readonly detail?: string;
}

/** Runs tasks under leases in virtual time. */
export class VirtualWorker {
  /** Tasks by id, including those that ended and were not stopped yet. */
  readonly tasks = new Map<string, VirtualTask>();
  /** Whether every start on this worker fails. */
  broken = false;
  /** Number of starts that failed on this worker. */
  failures = 0;
  /** Highest term seen; calls with a lower one are refused. */
  term = 0;
  /** Highest stopped attempt of each task. A delayed start of this or an earlier attempt is refused. */
  private readonly stopped = new Map<string, number>();

  constructor(
    readonly capacity: Resources,
    private readonly getBehaviour: (workload: string, index: number) => TaskBehaviour,
    private readonly getSpeed: SpeedModel = () => 1,
  ) {}

  /** Advances all tasks to a virtual time, and ends those that are finished or whose lease has expired. */
  advance(at: number): void {
    const running = this.running;
    for (const task of running) {
      const end = Math.min(at, task.leaseUntil);
      const done = task.doneMs + Math.max(0, end - task.updatedAt) * task.speed * task.fraction;
      task.doneMs = Math.min(task.workMs, done);
      task.updatedAt = at;
      const checkpointIntervalMs = this.getTaskBehaviour(task).checkpointIntervalMs;
      if (checkpointIntervalMs !== undefined)
        task.checkpointedMs = Math.floor(task.doneMs / checkpointIntervalMs) * checkpointIntervalMs;
      if (task.doneMs >= task.workMs) task.state = 'finished';
      else if (at >= task.leaseUntil) task.state = 'stopped';
    }
    const remaining = this.running;
    for (const task of remaining) task.speed = this.getSpeed(task, remaining);
  }

  /** Tasks in the state `running`. */
  get running(): VirtualTask[] {
    return [...this.tasks.values()].filter(task => task.state === 'running');
  }

  /** Carries out a call of the agent at a virtual time. */
  call(call: WorkerCall, at: number): WorkerCallResult {
    this.advance(at);
    if (call.term < this.term) return {ok: false, detail: 'stale-term'};
    this.term = call.term;
    const task = this.tasks.get(call.task);
    if (call.action === 'start') return this.start(call, task, at);
    if (call.action === 'stop') {
      this.stopped.set(call.task, Math.max(call.attempt, this.stopped.get(call.task) ?? 0));
    }
    if (task?.attempt !== call.attempt) return {ok: call.action === 'stop'};
    switch (call.action) {
      case 'renew':
        task.leaseUntil = Math.max(task.leaseUntil, at + (call.leaseMs ?? 0));
        break;
      case 'throttle':
        task.fraction = call.fraction ?? 1;
        break;
      case 'checkpoint': {
        if (this.getTaskBehaviour(task).checkpointIntervalMs === undefined) return {ok: false};
        task.checkpointedMs = task.doneMs;
        return {ok: true, checkpoint: String(Math.round(task.doneMs))};
      }
      case 'stop':
        this.tasks.delete(call.task);
        break;
    }
    this.advance(at);
    return {ok: true};
  }

  /** Returns all tasks, as the worker lists them to the agent. */
  list(at: number): WorkerTask[] {
    this.advance(at);
    return [...this.tasks.values()].map(task => ({
      task: task.task,
      attempt: task.attempt,
      workload: task.workload,
      resources: task.resources,
      state: task.state,
      leaseMs: Math.max(0, task.leaseUntil - at),
      ...(task.checkpointedMs > 0 ? {checkpoint: String(task.checkpointedMs)} : {}),
    }));
  }

  /** Returns the resource usage and progress of the running tasks. */
  getUsages(at: number): Array<{task: string; attempt: number; usage: Usage}> {
    this.advance(at);
    return this.running.map(task => {
      const progress = Number.isFinite(task.workMs) ? task.doneMs / task.workMs : undefined;
      const {memoryMb} = task.resources;
      const processors = this.getProcessors(task);
      const usage = {processors, memoryMb, progress};
      return {task: task.task, attempt: task.attempt, usage};
    });
  }

  /** Returns the processors that a running task uses, in millicores. */
  getProcessors(task: VirtualTask): number {
    const {sizeFactor = 1, baseProcessors} = this.getTaskBehaviour(task);
    return (baseProcessors ?? task.resources.processors) * sizeFactor * task.fraction;
  }

  private start(call: WorkerCall, present: VirtualTask | undefined, at: number): WorkerCallResult {
    if (present && present.attempt >= call.attempt) return {ok: present.attempt === call.attempt};
    if ((this.stopped.get(call.task) ?? 0) >= call.attempt)
      return {ok: false, detail: 'stale attempt'};
    const index = Number(call.task.slice(call.task.lastIndexOf('/') + 1));
    const behaviour = this.getBehaviour(call.workload ?? '', index);
    if (this.broken || behaviour.shouldFailStart) {
      this.failures += 1;
      return {ok: false, detail: 'exited with status 1'};
    }
    this.tasks.set(call.task, {
      task: call.task,
      attempt: call.attempt,
      workload: call.workload ?? '',
      resources: call.resources ?? {processors: 0, memoryMb: 0, accelerators: 0, slots: 0},
      workMs: behaviour.workMs,
      doneMs: Number(call.checkpoint ?? 0),
      checkpointedMs: Number(call.checkpoint ?? 0),
      updatedAt: at,
      leaseUntil: at + (call.leaseMs ?? 0),
      fraction: 1,
      speed: 1,
      state: 'running',
    });
    this.advance(at);
    return {ok: true};
  }

  private getTaskBehaviour(task: VirtualTask): TaskBehaviour {
    return this.getBehaviour(
      task.workload,
      Number(task.task.slice(task.task.lastIndexOf('/') + 1)),
    );
  }
}
