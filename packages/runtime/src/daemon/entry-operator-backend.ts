import {
  type Configuration,
  type ConfigurationChange,
  type ConfirmedPlan,
  type EntryProcess,
  type EntryProcessEvent,
  getCellConfiguration,
  getCells,
  getWorkloadStatuses,
  type Hello,
  type PlanEffect,
  predictEffects,
  type Clock,
  type TimelineEvent,
  type TimelineFilter,
} from '@chervilbeam/coordination';
import type {ConfirmationAnswer, OperatorBackend, OperatorStatus} from '../control/index.js';
import type {EntrySettings} from '../settings/index.js';
import type {ProcessMonitor} from './process-monitor.js';

/** Options of `EntryOperatorBackend`. */
export interface EntryOperatorBackendOptions {
  readonly settings: EntrySettings;
  readonly incarnation: number;
  readonly process: EntryProcess;
  readonly clock: Clock;
  readonly monitor: ProcessMonitor;
  readonly post: (event: EntryProcessEvent) => void;
  /** Returns the hellos of the connected processes. */
  readonly getHellos: () => readonly Hello[];
}

/** Backend of the operator API, based on the state of an entry process. */
export class EntryOperatorBackend implements OperatorBackend {
  /** Latest configuration version from a heartbeat, by process name. */
  private readonly configVersions = new Map<string, number>();
  private readonly findings = new Map<string, string>();
  private readonly pendingConfirmations = new Map<number, (answer: ConfirmationAnswer) => void>();
  private lastConfirmationRequest = 0;

  /** Creates the backend of one entry. */
  constructor(private readonly options: EntryOperatorBackendOptions) {}

  /** Incarnation of the process, a random 48-bit number. */
  get incarnation(): number {
    return this.options.incarnation;
  }

  /** Records the configuration version that a process reported in a heartbeat. */
  recordConfigVersion(peer: string, version: number): void {
    this.configVersions.set(peer, version);
  }

  /** Records the latest finding of a scheduler about a workload. */
  recordFinding(workload: string, reason: string): void {
    this.findings.set(workload, reason);
  }

  /** Resolves the pending confirmation with the given request number. */
  finishConfirmation(request: number, answer: ConfirmationAnswer): void {
    this.pendingConfirmations.get(request)?.(answer);
    this.pendingConfirmations.delete(request);
  }

  /** @inheritdoc */
  getConfiguration(): Configuration {
    return this.options.process.view.configuration;
  }

  /** @inheritdoc */
  isConfigurationKnown(): boolean {
    return this.options.process.view.isKnown;
  }

  /** @inheritdoc */
  getChangesAfter(version: number): readonly ConfigurationChange[] | undefined {
    return this.options.process.view.getChangesAfter(version);
  }

  /** @inheritdoc */
  predict(next: Configuration): readonly PlanEffect[] | undefined {
    const {process, clock} = this.options;
    const cell = process.cells.find(({mode}) => mode === 'owner');
    // Only the owner of a cell knows its state, so a configuration with other cells cannot be predicted here.
    if (!cell || [...getCells(next)].some(name => name !== cell.cell)) return undefined;
    return predictEffects(cell.scheduler, getCellConfiguration(next, cell.cell), clock.now());
  }

  /** @inheritdoc */
  async confirm(plan: ConfirmedPlan): Promise<ConfirmationAnswer> {
    const request = ++this.lastConfirmationRequest;
    const answer = new Promise<ConfirmationAnswer>(resolve =>
      this.pendingConfirmations.set(request, resolve),
    );
    this.options.post({kind: 'confirm', request, plan});
    return answer;
  }

  /** @inheritdoc */
  declareLoss(name: string): boolean {
    const isScheduler = this.options.process.cells.some(({mode}) => mode !== 'none');
    if (isScheduler) this.options.post({kind: 'loss', name});
    return isScheduler;
  }

  /** @inheritdoc */
  getStatus(): OperatorStatus {
    const {settings, process, getHellos} = this.options;
    const {deployment, name, dataCentre, region, listen} = settings;
    const {version} = this.getConfiguration();
    const control = `http://${listen.control}`;
    const ownStatus = {name, role: 'entry', dataCentre, region, version, control} as const;
    const peerStatuses = getHellos().map(hello => ({
      name: hello.name,
      role: hello.role,
      dataCentre: hello.dataCentre,
      region: hello.region,
      version: this.configVersions.get(hello.name) ?? hello.configVersion,
    }));
    const findings = [...this.findings].map(([workload, reason]) => ({workload, reason}));
    const workloads = process.cells.flatMap(({scheduler}) => getWorkloadStatuses(scheduler));
    return {deployment, version, processes: [ownStatus, ...peerStatuses], workloads, findings};
  }

  /** @inheritdoc */
  getTimeline(filter: TimelineFilter): readonly TimelineEvent[] {
    return this.options.monitor.getTimeline(filter);
  }
}
