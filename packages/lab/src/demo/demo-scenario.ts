import {getMonotonicTimeMs} from '@chervilbeam/standins';
import type {HistoryEvent} from '../histories/index.js';
import {DemoDeployment} from './demo-deployment.js';
import type {DemoPlan} from './demo-plan.js';
import {DemoRecorder} from './demo-recorder.js';
import {DemoTraffic} from './demo-traffic.js';
import {DemoWatch} from './demo-watch.js';

/** Runs one deployment with traffic, faults and a shutdown, and records the history. */
export class DemoScenario {
  private readonly recorder = new DemoRecorder();
  private readonly deployment: DemoDeployment;
  private traffic: DemoTraffic | undefined;
  private watch: DemoWatch | undefined;

  /** Creates the scenario of one deployment. */
  constructor(
    private readonly plan: DemoPlan,
    private readonly log: (text: string) => void,
  ) {
    this.deployment = new DemoDeployment(plan, this.recorder);
  }

  /** Runs the scenario and returns the recorded events. */
  async run(): Promise<readonly HistoryEvent[]> {
    const {deployment} = this;
    await deployment.start();
    this.log(`${deployment.entries.size} entries and ${deployment.hosts.size} hosts are connected`);
    await this.startWork();
    await this.injectFaults();
    await this.shutDown();
    this.recorder.record({kind: 'history-ended'});
    return this.recorder.events;
  }

  /** Stops the traffic, the watch and all processes. */
  async stop(): Promise<void> {
    await this.traffic?.stop();
    await this.watch?.stop();
    await this.deployment.stop();
  }

  /** Returns error log lines and other output on standard error. */
  getErrors(): readonly string[] {
    return this.deployment.getErrors();
  }

  private async startWork(): Promise<void> {
    const {deployment, recorder} = this;
    await this.applyWithRetry(deployment.readIntent());
    await deployment.waitForConfiguration();
    this.watch = new DemoWatch(deployment, recorder);
    this.watch.start();
    const entries = [...deployment.entries].map(([name, entry]) => ({
      name,
      address: entry.settings.listen.callers as string,
    }));
    this.traffic = new DemoTraffic(this.plan, entries, recorder);
    this.traffic.start();
    this.log('intent planned and confirmed; callers started');
    await sleep(6000);
  }

  private async injectFaults(): Promise<void> {
    const {deployment, recorder} = this;
    const [firstEntry] = [...deployment.entries.keys()];
    const [firstHost, secondHost, killedHost] = [...deployment.hosts.keys()];
    if (!firstEntry || !firstHost || !secondHost || !killedHost)
      throw new Error('the scenario needs at least one entry and three hosts');
    await deployment.killEntry(firstEntry);
    this.log(`killed entry ${firstEntry}`);
    await sleep(3000);
    await deployment.killWorker(killedHost);
    this.log(`killed worker and backend server of ${killedHost}`);
    await sleep(3000);
    // Drains the host with more running tasks, so that some are evicted and resumed elsewhere.
    const drainedHost =
      recorder.countRunningTasks(firstHost) > recorder.countRunningTasks(secondHost)
        ? firstHost
        : secondHost;
    const operator = 'Demo Operator';
    await this.applyWithRetry({operator, drains: [drainedHost]});
    recorder.record({kind: 'host-leaving', host: drainedHost});
    recorder.record({kind: 'faults-over'});
    this.log(`draining ${drainedHost}`);
    await sleep(8000);
    await deployment.stopGracefully(drainedHost);
    this.log(`stopped the agent of ${drainedHost} gracefully`);
    await this.applyWithRetry({operator, drains: [{host: killedHost, draining: true}]});
    await sleep(8000);
  }

  private async shutDown(): Promise<void> {
    const {deployment} = this;
    const [, secondEntry, ...otherEntries] = [...deployment.entries.keys()];
    if (secondEntry) await deployment.stopGracefully(secondEntry);
    this.log(`stopped entry ${secondEntry} gracefully under load`);
    await sleep(1000);
    await this.watch?.stop();
    this.watch = undefined;
    const stopping = otherEntries.map(name => deployment.stopGracefully(name));
    await Promise.all([...stopping, this.traffic?.finish()]);
    const hosts = [...deployment.hosts.keys()];
    await Promise.all(hosts.map(name => deployment.stopGracefully(name)));
    this.log('stopped the remaining entries and all agents');
  }

  /** Applies an intent. Retries for up to 8 s, because entries cannot confirm changes right after their start. */
  private async applyWithRetry(intent: object): Promise<void> {
    const end = getMonotonicTimeMs() + 8000;
    for (;;) {
      try {
        return await this.deployment.apply(intent);
      } catch (error) {
        if (getMonotonicTimeMs() > end) throw error;
        await sleep(200);
      }
    }
  }
}

async function sleep(ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms));
}
