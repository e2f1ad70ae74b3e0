import type {AttemptState, Resources, Usage} from '@chervilbeam/coordination';
import type {FailureModes} from './failure-modes.js';
import type {Observer} from './observer.js';
import type {WorkerSettings} from './worker-settings.js';

/** Start of an attempt. */
export interface TaskStart {
  readonly attempt: number;
  readonly term: number;
  readonly leaseMs: number;
  readonly resources: Resources;
  readonly workload: string;
  readonly checkpoint?: string;
}

interface RunningTask extends TaskStart {
  readonly task: string;
  state: AttemptState;
  leaseUntil: number;
  /** Milliseconds of work done, those before the checkpoint included. */
  doneMs: number;
  advancedAt: number;
  fraction: number;
  latest?: string;
  detail?: string;
}

/** Answer of the worker's API. */
export interface TaskAnswer {
  readonly status: number;
  readonly body: object;
}

/** Usage that a measurement saw; it is reported after a lag. */
interface Measurement {
  readonly at: number;
  readonly usages: ReadonlyArray<{task: string; attempt: number; usage: Usage}>;
}

const ok: TaskAnswer = {status: 200, body: {}};

/** Tasks of one worker under leases, with fencing by term and attempt. */
export class TaskTable {
  private readonly tasks = new Map<string, RunningTask>();
  /** Highest attempt of each task that was stopped or started; a start that comes late is refused. */
  private readonly lastAttempt = new Map<string, number>();
  private measurements: Measurement[] = [];
  private term = 0;

  /** Creates an empty table. */
  constructor(
    private readonly settings: WorkerSettings,
    private readonly failures: Readonly<FailureModes>,
    private readonly observer: Observer,
  ) {}

  /** Returns the answer to `GET /v1/worker`. */
  getState(at: number): {readonly tasks: readonly object[]} {
    const {capacity, rack} = this.settings;
    const tasks = [...this.tasks.values()].map(
      ({task, attempt, workload, resources, state, leaseUntil, latest, detail}) => ({
        task,
        attempt,
        workload,
        resources,
        state,
        leaseMs: Math.max(0, leaseUntil - at),
        ...(latest !== undefined && {checkpoint: latest}),
        ...(detail !== undefined && {detail}),
      }),
    );
    const state = {capacity, rack, tasks, term: this.term};
    return state;
  }

  /** Starts an attempt. A repeated start of the same attempt changes nothing. */
  start(task: string, start: TaskStart, at: number): TaskAnswer {
    const refusal = this.fence(start.term);
    if (refusal) return refusal;
    const present = this.tasks.get(task);
    if (present?.attempt === start.attempt && present.state === 'running') return ok;
    if (present?.state === 'running') return refuse('task-present');
    if ((this.lastAttempt.get(task) ?? 0) >= start.attempt) return refuse('stale-attempt');
    this.lastAttempt.set(task, start.attempt);
    const {resources, attempt, checkpoint} = start;
    const {name: host} = this.settings;
    this.observer.record('run-started', {task, attempt, host, resources, checkpoint});
    const running: RunningTask = {
      ...start,
      task,
      state: 'running',
      leaseUntil: at + start.leaseMs,
      doneMs: parseCheckpoint(checkpoint),
      advancedAt: at,
      fraction: 1,
      ...(checkpoint !== undefined && {latest: checkpoint}),
    };
    this.tasks.set(task, running);
    if (this.failures.failStarts) this.end(running, 'failed', 'lost', 'start-failed');
    return ok;
  }

  /** Extends the lease of an attempt. */
  renew(task: string, attempt: number, term: number, leaseMs: number, at: number): TaskAnswer {
    return this.withRunning(task, attempt, term, entry => {
      entry.leaseUntil = Math.max(entry.leaseUntil, at + leaseMs);
      return ok;
    });
  }

  /** Writes a checkpoint. */
  checkpoint(task: string, attempt: number, term: number, at: number): TaskAnswer {
    return this.withRunning(task, attempt, term, entry => {
      this.advance(entry, at);
      entry.latest = `${attempt}-${Math.floor(entry.doneMs)}`;
      return {status: 200, body: {checkpoint: entry.latest}};
    });
  }

  /** Limits an attempt to a fraction of its processors. */
  throttle(task: string, attempt: number, term: number, fraction: number, at: number): TaskAnswer {
    return this.withRunning(task, attempt, term, entry => {
      this.advance(entry, at);
      entry.fraction = fraction;
      return ok;
    });
  }

  /** Stops an attempt, or forgets it when it has ended. */
  stop(task: string, attempt: number, term: number): TaskAnswer {
    const refusal = this.fence(term);
    if (refusal) return refusal;
    this.lastAttempt.set(task, Math.max(attempt, this.lastAttempt.get(task) ?? 0));
    const entry = this.tasks.get(task);
    if (entry?.attempt !== attempt) return {status: 404, body: {detail: 'absent'}};
    const {latest} = entry;
    if (entry.state === 'running') {
      this.end(entry, 'stopped', latest === undefined ? 'stopped' : 'checkpointed');
    }
    this.tasks.delete(task);
    return {status: 200, body: latest === undefined ? {} : {checkpoint: latest}};
  }

  /** Ends tasks that are done or whose lease has ended, and measures the usage. */
  tick(at: number): void {
    for (const entry of this.tasks.values()) {
      if (entry.state !== 'running') continue;
      this.advance(entry, at);
      const runTimeMs = this.settings.runTimesMs[entry.workload];
      if (entry.leaseUntil <= at) {
        this.end(entry, 'stopped', 'lost', 'lease-ended');
      } else if (runTimeMs !== undefined && entry.doneMs >= runTimeMs) {
        this.end(entry, 'finished', 'finished');
      }
    }
    this.measurements.push({at, usages: this.measure()});
  }

  /** Returns the usage as it was some time ago. */
  getUsage(at: number): {readonly usages: readonly object[]} {
    const visible = this.measurements.filter(m => m.at <= at - this.settings.usageLagMs);
    const last = visible.at(-1);
    this.measurements = this.measurements.slice(Math.max(0, visible.length - 1));
    return {usages: last?.usages ?? []};
  }

  private measure(): Measurement['usages'] {
    return [...this.tasks.values()]
      .filter(({state}) => state === 'running')
      .map(({task, attempt, resources, fraction, workload, doneMs}) => {
        const runTimeMs = this.settings.runTimesMs[workload];
        const progress = runTimeMs === undefined ? undefined : Math.min(1, doneMs / runTimeMs);
        const processors = resources.processors * fraction;
        const usage = {processors, memoryMb: resources.memoryMb, latencyRatio: 1};
        return {task, attempt, usage: {...usage, ...(progress !== undefined && {progress})}};
      });
  }

  private withRunning(
    task: string,
    attempt: number,
    term: number,
    action: (entry: RunningTask) => TaskAnswer,
  ): TaskAnswer {
    const refusal = this.fence(term);
    if (refusal) return refusal;
    const entry = this.tasks.get(task);
    if (entry?.attempt !== attempt) return {status: 404, body: {detail: 'absent'}};
    if (entry.state !== 'running') return refuse(entry.state);
    return action(entry);
  }

  private fence(term: number): TaskAnswer | undefined {
    if (term < this.term) return refuse('stale-term');
    this.term = term;
    return undefined;
  }

  private advance(entry: RunningTask, at: number): void {
    entry.doneMs += ((at - entry.advancedAt) * entry.fraction) / this.failures.slowness;
    entry.advancedAt = at;
  }

  private end(entry: RunningTask, state: AttemptState, end: string, detail?: string): void {
    entry.state = state;
    if (detail !== undefined) entry.detail = detail;
    const {task, attempt, latest: checkpoint} = entry;
    const {name: host} = this.settings;
    this.observer.record('run-ended', {task, attempt, host, end, checkpoint});
  }
}

function refuse(detail: string): TaskAnswer {
  return {status: 409, body: {detail}};
}

/** A checkpoint id holds the milliseconds of work done: `<attempt>-<done>`. */
function parseCheckpoint(checkpoint: string | undefined): number {
  return Number(checkpoint?.split('-')[1] ?? 0);
}
