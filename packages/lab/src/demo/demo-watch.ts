import {createHash} from 'node:crypto';
import {ItemSet, parseLedgerRecord} from '@chervilbeam/coordination';
import {StoreClient} from '@chervilbeam/runtime';
import type {DaemonProcess} from '@chervilbeam/standins';
import type {DemoDeployment} from './demo-deployment.js';
import type {DemoRecorder} from './demo-recorder.js';

const pollIntervalMs = 250;

/** Polls the configuration in force at every process and the ledger in the store, and records changes. */
export class DemoWatch {
  private readonly client: StoreClient;
  private readonly digests = new Map<number, string>();
  private readonly checkpoints = new Map<string, string>();
  private readonly finished = new Set<string>();
  private timer: NodeJS.Timeout | undefined;
  private isPolling = false;

  /** Creates the watch of a running deployment. */
  constructor(
    private readonly deployment: DemoDeployment,
    private readonly recorder: DemoRecorder,
  ) {
    this.client = new StoreClient({url: deployment.storeUrl});
  }

  /** Polls until stopped. */
  start(): void {
    this.timer = setInterval(() => void this.poll(), pollIntervalMs);
  }

  /** Stops polling and records the log of accepted changes. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    const head = await this.client.read('config/head');
    if (head.result === 'ok') {
      const {changes = []} = (head.value ?? {}) as {changes?: Array<{changeId: string}>};
      const changeIds = changes.map(change => change.changeId);
      this.recorder.record({kind: 'configuration-log', changeIds});
    }
    await this.client.close();
  }

  private async poll(): Promise<void> {
    if (this.isPolling) return;
    this.isPolling = true;
    const {entries, hosts} = this.deployment;
    await Promise.all([...entries.values()].map(entry => this.pollEntry(entry)));
    await Promise.all([...hosts.values()].map(({agent}) => this.pollAgent(agent)));
    await this.pollLedger();
    this.isPolling = false;
  }

  private async pollEntry(entry: DaemonProcess): Promise<void> {
    const body = (await entry.get('/v1/configuration')) as {version: number} | undefined;
    if (body === undefined) return;
    const digest = createHash('sha256').update(JSON.stringify(body)).digest('hex').slice(0, 16);
    this.digests.set(body.version, digest);
    this.recordVersion(entry.settings.name, body.version, digest);
  }

  /** Agents report their version only, so the digest that an entry had for this version is recorded. */
  private async pollAgent(agent: DaemonProcess): Promise<void> {
    const version = (await agent.getStatus())?.version;
    const digest = version === undefined ? undefined : this.digests.get(version);
    if (version === undefined || digest === undefined) return;
    this.recordVersion(agent.settings.name, version, digest);
  }

  private recordVersion(process: string, version: number, digest: string): void {
    this.recorder.record({kind: 'configuration-in-force', process, version, digest});
  }

  private async pollLedger(): Promise<void> {
    const answer = await this.client.read('cell/main/ledger');
    if (answer.result !== 'ok' || !answer.value) return;
    const ledger = parseLedgerRecord(answer.value);
    if (ledger.isErr()) return;
    for (const [task, {checkpoint}] of Object.entries(ledger.value.tasks)) {
      if (checkpoint === undefined || this.checkpoints.get(task) === checkpoint) continue;
      this.checkpoints.set(task, checkpoint);
      this.recorder.record({kind: 'checkpoint-recorded', task, checkpoint});
    }
    for (const [name, {finished}] of Object.entries(ledger.value.workloads)) {
      const items = ItemSet.fromText(finished);
      // Each hexadecimal digit of the text holds four items.
      for (let i = 0; i < finished.length * 4; i++)
        if (items.has(i)) this.recordFinished(`${name}/${i}`);
    }
  }

  private recordFinished(task: string): void {
    if (this.finished.has(task)) return;
    this.finished.add(task);
    this.recorder.record({kind: 'task-recorded-finished', task});
  }
}
