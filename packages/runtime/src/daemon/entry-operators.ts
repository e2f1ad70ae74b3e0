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

/** What the operators' HTTP of an entry needs of its process. */
export interface EntryOperatorsOptions {
  readonly settings: EntrySettings;
  readonly incarnation: number;
  readonly process: EntryProcess;
  readonly clock: Clock;
  readonly monitor: ProcessMonitor;
  readonly post: (event: EntryProcessEvent) => void;
  /** Hellos of the connected processes. */
  readonly getHellos: () => readonly Hello[];
}

/** Serves operators from the state of an entry. */
export class EntryOperators implements OperatorBackend {
  private readonly versions = new Map<string, number>();
  private readonly findings = new Map<string, string>();
  private readonly confirmations = new Map<number, (answer: ConfirmationAnswer) => void>();
  private lastRequest = 0;

  /** Creates the service of one entry. */
  constructor(private readonly options: EntryOperatorsOptions) {}

  /** Incarnation of the process. */
  get incarnation(): number {
    return this.options.incarnation;
  }

  /** Notes the configuration version that a process has told. */
  noteVersion(peer: string, version: number): void {
    this.versions.set(peer, version);
  }

  /** Notes a finding of a scheduler. */
  noteFinding(workload: string, reason: string): void {
    this.findings.set(workload, reason);
  }

  /** Completes a confirmation. */
  finishConfirmation(request: number, answer: ConfirmationAnswer): void {
    this.confirmations.get(request)?.(answer);
    this.confirmations.delete(request);
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
    // The state of a cell is known to its owner only.
    if (!cell || [...getCells(next)].some(name => name !== cell.cell)) return undefined;
    return predictEffects(cell.scheduler, getCellConfiguration(next, cell.cell), clock.now());
  }

  /** @inheritdoc */
  async confirm(plan: ConfirmedPlan): Promise<ConfirmationAnswer> {
    const request = ++this.lastRequest;
    const answer = new Promise<ConfirmationAnswer>(resolve =>
      this.confirmations.set(request, resolve),
    );
    this.options.post({kind: 'confirm', request, plan});
    return answer;
  }

  /** @inheritdoc */
  declareLoss(name: string): boolean {
    const known = this.options.process.cells.some(({mode}) => mode !== 'none');
    if (known) this.options.post({kind: 'loss', name});
    return known;
  }

  /** @inheritdoc */
  getStatus(): OperatorStatus {
    const {settings, process, getHellos} = this.options;
    const {deployment, name, dataCentre, region, listen} = settings;
    const {version} = this.getConfiguration();
    const control = `http://${listen.control}`;
    const own = {name, role: 'entry', dataCentre, region, version, control} as const;
    const others = getHellos().map(hello => ({
      name: hello.name,
      role: hello.role,
      dataCentre: hello.dataCentre,
      region: hello.region,
      version: this.versions.get(hello.name) ?? hello.configVersion,
    }));
    const findings = [...this.findings].map(([workload, reason]) => ({workload, reason}));
    const workloads = process.cells.flatMap(({scheduler}) => getWorkloadStatuses(scheduler));
    return {deployment, version, processes: [own, ...others], workloads, findings};
  }

  /** @inheritdoc */
  getTimeline(filter: TimelineFilter): readonly TimelineEvent[] {
    return this.options.monitor.getTimeline(filter);
  }
}
