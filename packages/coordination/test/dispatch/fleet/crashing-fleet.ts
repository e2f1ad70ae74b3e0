import {createQueue, VirtualFleet, type VirtualFleetOptions} from './virtual-fleet.js';
import type {VirtualWorker} from './virtual-worker.js';

/** Times of a crash in milliseconds. */
export interface CrashTimes {
  /** Time until the agent reports the crash. */
  readonly noticeMs: number;
  /** Time until the worker is back. */
  readonly returnMs: number;
}

const defaultTimes: CrashTimes = {noticeMs: 600, returnMs: 2_500};
/** Length of a simulation step in milliseconds. */
const stepMs = 25;

export const queue = createQueue({name: 'work', stretchFactor: 100, targetLatencyMs: 60_000});

/** Options of `CrashingFleet`. */
export interface CrashingFleetOptions extends Partial<VirtualFleetOptions> {
  readonly workerCount?: number;
  /** Returns the time in milliseconds from the start of a task until it crashes its worker; undefined for others. */
  readonly getCrashDelayMs?: (task: string) => number | undefined;
  /** Whether the agents report crashed workers; otherwise only the next incarnation shows the crash. */
  readonly areCrashesReported?: boolean;
  /** Whether the agents notice that a worker has stopped answering before its next incarnation does; true by default. */
  readonly isSilenceKnown?: boolean;
}

/** A fleet with tasks that crash their workers. */
export class CrashingFleet extends VirtualFleet {
  /** Number of crashes that a task has caused. */
  readonly crashes = new Map<string, number>();
  private readonly startedAt = new Map<string, number>();
  private readonly pending: Array<{readonly at: number; readonly action: () => void}> = [];
  private lives = 0;

  constructor(private readonly crashingOptions: CrashingFleetOptions = {}) {
    const {workerCount = 6} = crashingOptions;
    super({
      seed: 1,
      queues: [queue],
      workers: Array.from({length: workerCount}, (_, index) => ({
        agent: `w${index}`,
        life: `w${index}-life`,
        cores: 16,
        rack: 'r0',
      })),
      ...crashingOptions,
    });
    this.onStep = () => this.step();
  }

  /** Returns the number of starts of a task. */
  countStarts(task: string): number {
    return this.decisions.filter(entry => entry.event === 'run-placed' && entry.task === task)
      .length;
  }

  /** Crashes the worker of an agent; it comes back as another incarnation. */
  crash(agent: string, times: Partial<CrashTimes> = {}): void {
    const {noticeMs, returnMs} = {...defaultTimes, ...times};
    const worker = this.workers.get(agent);
    if (worker === undefined) return;
    this.workers.delete(agent);
    const {life} = worker.options;
    if (this.crashingOptions.areCrashesReported ?? true) {
      this.plan(noticeMs, () => {
        const reason = 'refused-connection';
        const message = {kind: 'worker-gone', life, reason, silentMs: noticeMs} as const;
        this.post({kind: 'message', agent, message});
      });
    }
    this.plan(returnMs, () => this.bringBack(worker, returnMs));
  }

  /** Calls an action after a delay in milliseconds. */
  plan(delayMs: number, action: () => void): void {
    this.pending.push({at: this.now + delayMs, action});
  }

  private bringBack(worker: VirtualWorker, silentMs: number): void {
    const {agent} = worker.options;
    this.workers.set(agent, worker);
    this.lives += 1;
    const isSilenceKnown = this.crashingOptions.isSilenceKnown ?? true;
    const life = `${agent}-life-${this.lives}`;
    this.replace(agent, life, () => {}, isSilenceKnown ? silentMs : undefined);
  }

  private step(): void {
    const due = this.pending.filter(({at}) => at <= this.now);
    for (const entry of due) this.pending.splice(this.pending.indexOf(entry), 1);
    for (const {action} of due) action();
    for (const [agent, worker] of [...this.workers]) {
      for (const {task, run} of worker.runs.values()) {
        const delayMs = this.crashingOptions.getCrashDelayMs?.(task);
        if (delayMs === undefined) continue;
        const key = `${worker.options.life}/${task}/${run}`;
        const startedAt = this.startedAt.get(key) ?? this.now;
        this.startedAt.set(key, startedAt);
        if (this.now + stepMs <= startedAt + delayMs) continue;
        this.crashes.set(task, (this.crashes.get(task) ?? 0) + 1);
        this.crash(agent);
        break;
      }
    }
  }
}
