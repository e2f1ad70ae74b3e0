import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import type {Settings} from '@chervilbeam/runtime';
import {
  applyIntent,
  DaemonProcess,
  allocatePorts,
  getMonotonicTimeMs,
  ManagedProcess,
  waitUntil,
  workerDefaults,
} from '@chervilbeam/standins';
import type {DemoDataCentre, DemoPlan} from './demo-plan.js';
import type {DemoRecorder} from './demo-recorder.js';

const standins = new URL('.', import.meta.resolve('@chervilbeam/standins'));
const storeModule = fileURLToPath(new URL('store/main.js', standins));
const workerModule = fileURLToPath(new URL('worker/main.js', standins));
const examples = new URL('../../../../../examples/demo/', import.meta.url);
/** Time in milliseconds after the start of its shutdown during which an entry still serves new requests. */
const settleMs = 700;
/** Time in milliseconds for the last answers of an exited process to reach their callers. */
const answerDeliveryMs = 200;

/** Processes of a host: the agent, and one stand-in for the worker and the backend server. */
export interface DemoHost {
  readonly name: string;
  readonly agent: DaemonProcess;
  readonly worker: ManagedProcess;
}

/** Starts, stops and kills the processes of one deployment. */
export class DemoDeployment {
  /** Entries by name. */
  readonly entries = new Map<string, DaemonProcess>();
  /** Hosts by name. */
  readonly hosts = new Map<string, DemoHost>();
  /** URL of the store; empty until it is started. */
  storeUrl = '';
  private store: ManagedProcess | undefined;
  private readonly errors: string[] = [];

  /** Creates the deployment; `start` starts its processes. */
  constructor(
    readonly plan: DemoPlan,
    private readonly recorder: DemoRecorder,
  ) {}

  /** Returns error log lines of the processes, other output on standard error, and failed shutdowns. */
  getErrors(): readonly string[] {
    return this.errors;
  }

  /** Starts all processes and waits until every entry is connected to all others and to all agents. */
  async start(): Promise<void> {
    this.storeUrl = await this.startStore();
    const entryCount = sum(this.plan.dataCentres, dataCentre => dataCentre.entries);
    const hostCount = sum(this.plan.dataCentres, dataCentre => dataCentre.hosts);
    const ports = [...(await allocatePorts(entryCount * 3 + hostCount * 3))];
    const allocateAddress = () => `127.0.0.1:${ports.pop()}`;
    const peers = Array.from({length: entryCount}, allocateAddress);
    let peerIndex = 0;
    for (const dataCentre of this.plan.dataCentres) {
      for (let i = 1; i <= dataCentre.entries; i++) {
        const listen = {
          callers: allocateAddress(),
          peers: peers[peerIndex++] as string,
          control: allocateAddress(),
        };
        this.startEntry(`${dataCentre.name}-entry-${i}`, dataCentre, listen, peers);
      }
      for (let i = 1; i <= dataCentre.hosts; i++) {
        this.startHost(`${dataCentre.name}-host-${i}`, dataCentre, allocateAddress, peers);
      }
    }
    const connected = entryCount - 1 + hostCount;
    await Promise.all([...this.entries.values()].map(entry => entry.waitForPeers(connected)));
  }

  /** Plans and confirms an intent through one entry, and records the change if it was accepted. */
  async apply(intent: object, entry = this.getEntry()): Promise<void> {
    const {version, changeId} = await applyIntent(entry.settings.listen.control, intent);
    if (version === undefined || changeId === undefined) return;
    this.recorder.record({kind: 'configuration-accepted', version, changeId});
  }

  /** Returns the sample intent of the deployment. */
  readIntent(): object {
    const text = readFileSync(new URL(this.plan.intent, examples), 'utf8');
    const intent = JSON.parse(text) as Record<string, unknown>;
    delete intent.$schema;
    return intent;
  }

  /** Waits until every entry has a configuration, so that the scheduler of the cell can predict effects of plans. */
  async waitForConfiguration(): Promise<void> {
    for (const entry of this.entries.values()) {
      await waitUntil(`configuration at ${entry.settings.name}`, async () => {
        const body = (await entry.get('/v1/configuration')) as {version?: number} | undefined;
        return (body?.version ?? 0) > 0;
      });
    }
  }

  /** Returns an entry that is running; throws if there is none. */
  getEntry(): DaemonProcess {
    const entry = [...this.entries.values()].find(({process}) => process.isRunning);
    if (entry === undefined) throw new Error('no entry is running');
    return entry;
  }

  /** Kills an entry with SIGKILL and waits for its exit. */
  async killEntry(name: string): Promise<void> {
    this.recorder.record({kind: 'process-killed', process: name});
    this.entries.get(name)?.process.signal('SIGKILL');
    await this.entries.get(name)?.process.exited;
  }

  /** Kills the worker and the backend server of a host, and records the end of its runs and exchanges. */
  async killWorker(name: string): Promise<void> {
    const worker = this.hosts.get(name)?.worker;
    worker?.signal('SIGKILL');
    const at = getMonotonicTimeMs();
    await worker?.exited;
    this.recorder.recordWorkerKilled(name, at);
  }

  /** Tells an entry or agent to shut down, waits for its exit and records both. */
  async stopGracefully(name: string): Promise<void> {
    const daemon = this.entries.get(name) ?? this.hosts.get(name)?.agent;
    if (!daemon?.process.isRunning) return;
    this.recorder.record({kind: 'shutdown-began', process: name});
    const status = await daemon.stop();
    if (status !== 0) this.errors.push(`${name} ended with ${status}`);
    await new Promise(resolve => setTimeout(resolve, answerDeliveryMs));
    this.recorder.record({kind: 'process-exited', process: name});
  }

  /** Terminates all processes that are still running; kills them after 3 s. */
  async stop(): Promise<void> {
    const daemons = [...this.entries.values(), ...[...this.hosts.values()].map(h => h.agent)];
    const processes = [...daemons.map(daemon => daemon.process), ...this.getStandins()];
    for (const process of processes) if (process.isRunning) process.signal('SIGTERM');
    const killTimer = setTimeout(() => {
      for (const process of processes) if (process.isRunning) process.signal('SIGKILL');
    }, 3000);
    await Promise.all(processes.map(process => process.exited));
    clearTimeout(killTimer);
  }

  private getStandins(): ManagedProcess[] {
    const workers = [...this.hosts.values()].map(host => host.worker);
    return this.store ? [...workers, this.store] : workers;
  }

  private async startStore(): Promise<string> {
    let url = '';
    this.store = new ManagedProcess({
      name: 'store',
      module: storeModule,
      arguments: ['127.0.0.1:0'],
      onLine: line => (url = (JSON.parse(line) as {store: string}).store),
    });
    await waitUntil('store', () => url !== '');
    return url;
  }

  private startEntry(
    name: string,
    dataCentre: DemoDataCentre,
    listen: Settings['listen'],
    seeds: readonly string[],
  ): void {
    const entry = new DaemonProcess(
      {
        ...this.getLocation(dataCentre),
        role: 'entry',
        name,
        listen,
        seeds,
        store: this.storeUrl,
        cells: ['main'],
        settleMs,
        logLevel: 'error',
      },
      line => this.errors.push(`${name}: ${line}`),
    );
    this.entries.set(name, entry);
    this.recorder.record({kind: 'process-started', process: name});
  }

  private startHost(
    name: string,
    dataCentre: DemoDataCentre,
    allocateAddress: () => string,
    seeds: readonly string[],
  ): void {
    const control = allocateAddress();
    const worker = allocateAddress();
    const {lookup, order, runTimesMs} = this.plan;
    const settings = {
      ...workerDefaults,
      name,
      rack: `${dataCentre.name}-rack`,
      services: [lookup, order],
      workerListen: worker,
      backendListen: allocateAddress(),
      agent: `http://${control}`,
      runTimesMs,
    };
    const process = new ManagedProcess({
      name: `${name}-worker`,
      module: workerModule,
      arguments: [JSON.stringify(settings)],
      onLine: line => this.recorder.recordLine(line),
      onErrorLine: line => this.errors.push(`${name}-worker: ${line}`),
    });
    const agent = new DaemonProcess(
      {
        ...this.getLocation(dataCentre),
        role: 'agent',
        name,
        listen: {control},
        seeds,
        worker: `http://${worker}`,
        logLevel: 'error',
      },
      line => this.errors.push(`${name}: ${line}`),
    );
    this.hosts.set(name, {name, agent, worker: process});
    this.recorder.record({kind: 'process-started', process: name});
  }

  private getLocation(dataCentre: DemoDataCentre) {
    const {deployment} = this.plan;
    return {deployment, region: dataCentre.region, dataCentre: dataCentre.name};
  }
}

function sum<Value>(values: readonly Value[], getCount: (value: Value) => number): number {
  return values.reduce((total, value) => total + getCount(value), 0);
}
