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
  doneMs: number;
  checkpointedMs: number;
  updatedAt: number;
  leaseUntil: number;
  fraction: number;
  speed: number;
  state: AttemptState;
}

/** How a task behaves on the virtual worker. */
export interface TaskBehaviour {
  /** Work at full speed; infinite for services and watches. */
  readonly workMs: number;
  /** Time between checkpoints; absent when it cannot checkpoint. */
  readonly checkpointMs?: number;
  /** Whether each start fails. */
  readonly fails?: boolean;
  /** Processors that the task really uses over those that it declares; 1 when absent. */
  readonly sizeFactor?: number;
  /** Declared processors, when the reservation differs from them. */
  readonly declaredProcessors?: number;
}

/** Speed of the tasks of a worker, by what runs beside them; 1 is full speed. */
export type SpeedModel = (task: VirtualTask, all: readonly VirtualTask[]) => number;

/** Answer to a worker call. */
export interface WorkerCallResult {
  readonly ok: boolean;
  readonly checkpoint?: string;
  readonly detail?: string;
}

/** Runs tasks under leases in virtual time. */
export class VirtualWorker {
  readonly tasks = new Map<string, VirtualTask>();
  /** Every start fails. */
  broken = false;
  /** Number of starts that failed. */
  failures = 0;
  term = 0;
  /** Highest attempt of each task that was told to stop; its start may still be on its way. */
  private readonly stopped = new Map<string, number>();

  constructor(
    readonly capacity: Resources,
    private readonly getBehaviour: (workload: string, index: number) => TaskBehaviour,
    private readonly speed: SpeedModel = () => 1,
  ) {}

  /** Brings progress up to date and ends tasks whose lease or work has ended. */
  advance(at: number): void {
    const running = this.running;
    for (const task of running) {
      const end = Math.min(at, task.leaseUntil);
      const done = task.doneMs + Math.max(0, end - task.updatedAt) * task.speed * task.fraction;
      task.doneMs = Math.min(task.workMs, done);
      task.updatedAt = at;
      const checkpointIntervalMs = this.getTaskBehaviour(task).checkpointMs;
      if (checkpointIntervalMs !== undefined)
        task.checkpointedMs = Math.floor(task.doneMs / checkpointIntervalMs) * checkpointIntervalMs;
      if (task.doneMs >= task.workMs) task.state = 'finished';
      else if (at >= task.leaseUntil) task.state = 'stopped';
    }
    const remaining = this.running;
    for (const task of remaining) task.speed = this.speed(task, remaining);
  }

  /** Tasks that run at present. */
  get running(): VirtualTask[] {
    return [...this.tasks.values()].filter(task => task.state === 'running');
  }

  /** Carries out a call of the agent. */
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
        if (this.getTaskBehaviour(task).checkpointMs === undefined) return {ok: false};
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

  /** Tasks as the agent reads them. */
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

  /** Usage of the running tasks. */
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

  /** Processors that a running task uses. */
  getProcessors(task: VirtualTask): number {
    const {sizeFactor = 1, declaredProcessors} = this.getTaskBehaviour(task);
    return (declaredProcessors ?? task.resources.processors) * sizeFactor * task.fraction;
  }

  private start(call: WorkerCall, present: VirtualTask | undefined, at: number): WorkerCallResult {
    if (present && present.attempt >= call.attempt) return {ok: present.attempt === call.attempt};
    if ((this.stopped.get(call.task) ?? 0) >= call.attempt)
      return {ok: false, detail: 'stale attempt'};
    const index = Number(call.task.slice(call.task.lastIndexOf('/') + 1));
    const behaviour = this.getBehaviour(call.workload ?? '', index);
    if (this.broken || behaviour.fails) {
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
