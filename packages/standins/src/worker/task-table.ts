import type {AttemptState, Resources, Usage} from '@chervilbeam/coordination';
import type {FailureModes} from './failure-modes.js';
import type {EventRecorder} from './event-recorder.js';
import type {WorkerSettings} from './worker-settings.js';

/** Body of a request that starts an attempt. */
export interface TaskStart {
  readonly attempt: number;
  /** Term of the scheduler that sent the request. */
  readonly term: number;
  readonly leaseMs: number;
  readonly resources: Resources;
  readonly workload: string;
  /** Checkpoint from which the attempt resumes. */
  readonly checkpoint?: string;
}

/** Latest attempt of a task on the worker, running or ended. */
interface TaskAttempt extends TaskStart {
  readonly task: string;
  state: AttemptState;
  leaseExpiresAtMs: number;
  /** Milliseconds of work done, including the work before the checkpoint from which the attempt resumed. */
  workDoneMs: number;
  progressUpdatedAtMs: number;
  /** Fraction of the processors that the attempt may use. */
  fraction: number;
  latestCheckpoint?: string;
  detail?: string;
}

/** HTTP status and body of an answer of the worker's API. */
export interface TaskAnswer {
  readonly status: number;
  readonly body: object;
}

/** Usage measured at one time. It is reported only `usageLagMs` later, like the usage of a real worker. */
interface Measurement {
  readonly at: number;
  readonly usages: ReadonlyArray<{task: string; attempt: number; usage: Usage}>;
}

const ok: TaskAnswer = {status: 200, body: {}};

/**
 * Tasks of one worker, each held under a lease. Requests with a stale term or attempt are refused (fencing).
 * All `at` parameters are times in milliseconds on one monotonic clock.
 */
export class TaskTable {
  private readonly tasks = new Map<string, TaskAttempt>();
  /** Highest attempt of each task that was started or stopped; starts up to it arrive late and are refused. */
  private readonly highestAttemptByTask = new Map<string, number>();
  private measurements: Measurement[] = [];
  private term = 0;

  /** Creates an empty table. */
  constructor(
    private readonly settings: WorkerSettings,
    private readonly failures: Readonly<FailureModes>,
    private readonly recorder: EventRecorder,
  ) {}

  /** Returns the answer to `GET /v1/worker`. */
  getState(at: number): {readonly tasks: readonly object[]} {
    const {capacity, rack} = this.settings;
    const tasks = [...this.tasks.values()].map(
      ({
        task,
        attempt,
        workload,
        resources,
        state,
        leaseExpiresAtMs,
        latestCheckpoint,
        detail,
      }) => ({
        task,
        attempt,
        workload,
        resources,
        state,
        leaseMs: Math.max(0, leaseExpiresAtMs - at),
        ...(latestCheckpoint !== undefined && {checkpoint: latestCheckpoint}),
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
    if ((this.highestAttemptByTask.get(task) ?? 0) >= start.attempt) return refuse('stale-attempt');
    this.highestAttemptByTask.set(task, start.attempt);
    const {resources, attempt, checkpoint} = start;
    const {name: host} = this.settings;
    this.recorder.record('run-started', {task, attempt, host, resources, checkpoint});
    const running: TaskAttempt = {
      ...start,
      task,
      state: 'running',
      leaseExpiresAtMs: at + start.leaseMs,
      workDoneMs: parseCheckpointWorkMs(checkpoint),
      progressUpdatedAtMs: at,
      fraction: 1,
      ...(checkpoint !== undefined && {latestCheckpoint: checkpoint}),
    };
    this.tasks.set(task, running);
    if (this.failures.failStarts) this.end(running, 'failed', 'lost', 'start-failed');
    return ok;
  }

  /** Extends the lease of an attempt to `leaseMs` from now; never shortens it. */
  renew(task: string, attempt: number, term: number, leaseMs: number, at: number): TaskAnswer {
    return this.withRunningTask(task, attempt, term, entry => {
      entry.leaseExpiresAtMs = Math.max(entry.leaseExpiresAtMs, at + leaseMs);
      return ok;
    });
  }

  /** Writes a checkpoint of an attempt and returns its id. */
  checkpoint(task: string, attempt: number, term: number, at: number): TaskAnswer {
    return this.withRunningTask(task, attempt, term, entry => {
      this.advance(entry, at);
      entry.latestCheckpoint = `${attempt}-${Math.floor(entry.workDoneMs)}`;
      return {status: 200, body: {checkpoint: entry.latestCheckpoint}};
    });
  }

  /** Limits an attempt to a fraction of its processors, which slows its progress. */
  throttle(task: string, attempt: number, term: number, fraction: number, at: number): TaskAnswer {
    return this.withRunningTask(task, attempt, term, entry => {
      this.advance(entry, at);
      entry.fraction = fraction;
      return ok;
    });
  }

  /**
   * Stops an attempt if it is running, and removes it. Returns its latest checkpoint, if it has one, or 404 when the
   * worker does not have the attempt; in either case the attempt can no longer be started.
   */
  stop(task: string, attempt: number, term: number): TaskAnswer {
    const refusal = this.fence(term);
    if (refusal) return refusal;
    this.highestAttemptByTask.set(
      task,
      Math.max(attempt, this.highestAttemptByTask.get(task) ?? 0),
    );
    const entry = this.tasks.get(task);
    if (entry?.attempt !== attempt) return {status: 404, body: {detail: 'absent'}};
    const {latestCheckpoint} = entry;
    if (entry.state === 'running') {
      this.end(entry, 'stopped', latestCheckpoint === undefined ? 'stopped' : 'checkpointed');
    }
    this.tasks.delete(task);
    return {
      status: 200,
      body: latestCheckpoint === undefined ? {} : {checkpoint: latestCheckpoint},
    };
  }

  /** Ends tasks whose work is done or whose lease has expired, and measures the usage. */
  tick(at: number): void {
    for (const entry of this.tasks.values()) {
      if (entry.state !== 'running') continue;
      this.advance(entry, at);
      const runTimeMs = this.settings.runTimesMs[entry.workload];
      if (entry.leaseExpiresAtMs <= at) {
        this.end(entry, 'stopped', 'lost', 'lease-ended');
      } else if (runTimeMs !== undefined && entry.workDoneMs >= runTimeMs) {
        this.end(entry, 'finished', 'finished');
      }
    }
    this.measurements.push({at, usages: this.measureUsage()});
  }

  /** Returns the latest usage that was measured at least `usageLagMs` ago. */
  getUsage(at: number): {readonly usages: readonly object[]} {
    const visible = this.measurements.filter(
      measurement => measurement.at <= at - this.settings.usageLagMs,
    );
    const latestVisible = visible.at(-1);
    this.measurements = this.measurements.slice(Math.max(0, visible.length - 1));
    return {usages: latestVisible?.usages ?? []};
  }

  private measureUsage(): Measurement['usages'] {
    return [...this.tasks.values()]
      .filter(({state}) => state === 'running')
      .map(({task, attempt, resources, fraction, workload, workDoneMs}) => {
        const runTimeMs = this.settings.runTimesMs[workload];
        const progress = runTimeMs === undefined ? undefined : Math.min(1, workDoneMs / runTimeMs);
        const processors = resources.processors * fraction;
        const usage = {processors, memoryMb: resources.memoryMb, latencyRatio: 1};
        return {task, attempt, usage: {...usage, ...(progress !== undefined && {progress})}};
      });
  }

  private withRunningTask(
    task: string,
    attempt: number,
    term: number,
    action: (entry: TaskAttempt) => TaskAnswer,
  ): TaskAnswer {
    const refusal = this.fence(term);
    if (refusal) return refusal;
    const entry = this.tasks.get(task);
    if (entry?.attempt !== attempt) return {status: 404, body: {detail: 'absent'}};
    if (entry.state !== 'running') return refuse(entry.state);
    return action(entry);
  }

  /** Refuses a request from an earlier term, else adopts its term. */
  private fence(term: number): TaskAnswer | undefined {
    if (term < this.term) return refuse('stale-term');
    this.term = term;
    return undefined;
  }

  /** Adds the work done since the last update, at the throttled and slowed rate. */
  private advance(entry: TaskAttempt, at: number): void {
    entry.workDoneMs +=
      ((at - entry.progressUpdatedAtMs) * entry.fraction) / this.failures.slowness;
    entry.progressUpdatedAtMs = at;
  }

  private end(entry: TaskAttempt, state: AttemptState, end: string, detail?: string): void {
    entry.state = state;
    if (detail !== undefined) entry.detail = detail;
    const {task, attempt, latestCheckpoint: checkpoint} = entry;
    const {name: host} = this.settings;
    this.recorder.record('run-ended', {task, attempt, host, end, checkpoint});
  }
}

function refuse(detail: string): TaskAnswer {
  return {status: 409, body: {detail}};
}

/** Returns the milliseconds of work done that a checkpoint id holds: `<attempt>-<milliseconds>`. */
function parseCheckpointWorkMs(checkpoint: string | undefined): number {
  return Number(checkpoint?.split('-')[1] ?? 0);
}
