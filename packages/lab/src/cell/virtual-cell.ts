import {
  CellScheduler,
  type CellSchedulerEffect,
  type CellSchedulerEvent,
  type CellSchedulerOptions,
  type Configuration,
  type FindingReason,
  type LedgerRecord,
  type Resources,
  type Team,
  type Workload,
} from '@chervilbeam/coordination';
import {EventQueue} from './event-queue.js';
import type {LatencyModel} from './latency-meter.js';
import {VirtualHost, type VirtualHostPlace} from './virtual-host.js';
import {VirtualStore} from './virtual-store.js';
import {VirtualWorker, type SpeedModel, type TaskBehaviour} from './virtual-worker.js';

/** Settings of a virtual cell. */
export interface VirtualCellOptions {
  readonly hosts: ReadonlyArray<VirtualHostPlace & {readonly capacity: Resources}>;
  /** Returns the behaviour of a task by its workload and its index in it. */
  readonly getBehaviour: (workload: string, index: number) => TaskBehaviour;
  /** Speed of the tasks; full speed when absent. */
  readonly speed?: SpeedModel;
  /** Options of the scheduler that replace its defaults. */
  readonly scheduler?: Partial<CellSchedulerOptions>;
  /** Interval of the scheduler's ticks; 100 ms when absent. */
  readonly tickMs?: number;
  /** Interval of the agents' usage reports; 5 s when absent. */
  readonly usageIntervalMs?: number;
  /** Model of the service latencies; no latencies are reported when absent. */
  readonly latency?: LatencyModel;
}

/** A finding of the scheduler and the virtual time at which it was reported. */
export interface TimedFinding {
  readonly at: number;
  readonly workload: string;
  readonly reason: FindingReason;
  readonly detail: string;
}

/** Delay of a message in one direction. */
const networkDelayMs = 1.5;
/** Delay of a store call, from the request to its answer. */
const storeDelayMs = 3;
const ledgerKey = 'cell/main/ledger';

/** Runs the real scheduler of one cell with virtual hosts and a virtual store, in virtual time. */
export class VirtualCell {
  readonly queue = new EventQueue();
  readonly store = new VirtualStore();
  readonly hosts = new Map<string, VirtualHost>();
  readonly findings: TimedFinding[] = [];
  /** Totals of the scheduler's counters, by name. */
  readonly counts = new Map<string, number>();
  /** Virtual time of the first start of each task. */
  readonly firstStartTimes = new Map<string, number>();
  /** Number of start messages sent to hosts. */
  starts = 0;
  scheduler: CellScheduler;
  private configuration: Configuration = {
    version: 0,
    workloads: new Map(),
    teams: new Map(),
    drains: new Set(),
  };

  constructor(private readonly options: VirtualCellOptions) {
    this.scheduler = this.createScheduler();
    options.hosts.forEach((entry, position) => this.addHost(entry, position));
    this.acquireOwnership(1);
    this.queue.every(options.tickMs ?? 100, () => this.tick());
  }

  /** Runs until a virtual time in milliseconds. */
  runUntil(at: number): void {
    this.queue.runUntil(at);
  }

  /** Replaces the scheduler by one with empty state, as when another entry takes over the cell. */
  takeOver(term: number): void {
    this.scheduler = this.createScheduler();
    for (const host of this.hosts.values()) if (!host.isDown) this.connect(host);
    this.acquireOwnership(term);
    this.handle({kind: 'configuration', configuration: this.configuration});
  }

  /** Applies a new configuration version; `teams` and `drains` replace the previous sets. */
  configure(change: {
    readonly put?: readonly Workload[];
    readonly remove?: readonly string[];
    readonly teams?: readonly Team[];
    readonly drains?: readonly string[];
  }): void {
    const workloads = new Map(this.configuration.workloads);
    for (const workload of change.put ?? []) workloads.set(workload.name, workload);
    for (const name of change.remove ?? []) workloads.delete(name);
    this.configuration = {
      version: this.configuration.version + 1,
      workloads,
      teams: change.teams
        ? new Map(change.teams.map(team => [team.name, team]))
        : this.configuration.teams,
      drains: change.drains ? new Set(change.drains) : this.configuration.drains,
    };
    this.handle({kind: 'configuration', configuration: this.configuration});
  }

  /** Kills a host; the scheduler sees its connection close after `detectionDelayMs`. */
  kill(name: string, detectionDelayMs = 50): void {
    this.getHost(name).kill();
    this.queue.after(detectionDelayMs, () => this.handle({kind: 'host-down', host: name}));
  }

  /** Restarts a killed host without tasks. */
  restart(name: string): void {
    const host = this.getHost(name);
    host.restart();
    this.connect(host);
  }

  /** Returns a host; throws an `Error` for an unknown name. */
  getHost(name: string): VirtualHost {
    const host = this.hosts.get(name);
    if (!host) throw new Error(`no host named ${name}`);
    return host;
  }

  /** Passes an event to the scheduler and executes its effects. */
  handle(event: CellSchedulerEvent): void {
    const effects = this.scheduler.reduce(event, this.queue.now);
    for (const effect of effects) this.carryOut(effect);
  }

  private createScheduler(): CellScheduler {
    return new CellScheduler({cell: 'main', ...this.options.scheduler});
  }

  private acquireOwnership(term: number): void {
    this.handle({kind: 'ownership', mode: 'owner', term});
    this.handle({kind: 'fence-complete', unreportedBlockedUntil: this.queue.now});
  }

  private tick(): void {
    this.handle({kind: 'tick', wallTimeMs: this.queue.now});
  }

  private addHost(entry: VirtualHostPlace & {capacity: Resources}, position: number): void {
    const worker = new VirtualWorker(entry.capacity, this.options.getBehaviour, this.options.speed);
    const host: VirtualHost = new VirtualHost(
      entry,
      worker,
      this.queue,
      (_peer, message) =>
        this.queue.after(networkDelayMs, () => {
          if (message.kind === 'report') this.handle({kind: 'report', host: entry.name, message});
          else this.handle({kind: 'heartbeat', host: entry.name, message});
        }),
      this.options.usageIntervalMs,
      this.options.latency,
    );
    this.hosts.set(entry.name, host);
    // Spreads the ticks of the hosts over the tick interval of 500 ms.
    host.start((position * 37) % 500);
    this.connect(host);
  }

  private connect(host: VirtualHost): void {
    const {name} = host.place;
    const hello = host.getHello();
    this.handle({kind: 'host-up', host: name, hello, announce: host.getAnnounce()});
    host.handle({kind: 'peer-up', peer: 'entry'});
  }

  private carryOut(effect: CellSchedulerEffect): void {
    const {queue} = this;
    switch (effect.kind) {
      case 'send': {
        const host = this.hosts.get(effect.host);
        if (effect.message.kind === 'start') this.recordStart(effect.message.task);
        queue.after(networkDelayMs, () => host?.receive('entry', effect.message));
        break;
      }
      case 'read-ledger':
        queue.after(storeDelayMs, () => {
          const answer = this.store.call({operation: 'read', key: ledgerKey}, queue.now);
          if (answer.result !== 'ok') return;
          const record = answer.value as LedgerRecord | undefined;
          this.handle({kind: 'ledger-read', record, revision: answer.revision ?? 0});
        });
        break;
      case 'write-ledger':
        queue.after(storeDelayMs, () => {
          const {sequence, record: value, expectedRevision} = effect;
          const key = ledgerKey;
          const call = {operation: 'write', key, value, expectedRevision} as const;
          const answer = this.store.call(call, queue.now);
          const result =
            answer.result === 'ok'
              ? 'written'
              : answer.result === 'mismatch'
                ? 'conflict'
                : 'unknown';
          this.handle({kind: 'ledger-written', sequence, result, revision: answer.revision});
        });
        break;
      case 'finding': {
        const {workload, reason, detail} = effect;
        this.findings.push({at: queue.now, workload, reason, detail});
        break;
      }
      case 'count':
        this.counts.set(effect.name, (this.counts.get(effect.name) ?? 0) + effect.by);
        break;
      default:
        break;
    }
  }

  private recordStart(task: string): void {
    this.starts += 1;
    if (!this.firstStartTimes.has(task)) this.firstStartTimes.set(task, this.queue.now);
  }
}
