import {getSharedTime} from '@chervilbeam/standins';
import type {HistoryEvent} from '../histories/index.js';
import {DemoDeployment} from './demo-deployment.js';
import type {DemoPlan} from './demo-plan.js';
import {DemoRecorder} from './demo-recorder.js';
import {DemoTraffic} from './demo-traffic.js';
import {DemoWatch} from './demo-watch.js';

/** Runs one deployment with traffic, faults and a shutdown, and records what happens. */
export class DemoScenario {
  private readonly recorder = new DemoRecorder();
  private readonly deployment: DemoDeployment;
  private traffic: DemoTraffic | undefined;
  private watch: DemoWatch | undefined;

  /** Creates the scenario of one deployment. */
  constructor(
    private readonly plan: DemoPlan,
    private readonly say: (text: string) => void,
  ) {
    this.deployment = new DemoDeployment(plan, this.recorder);
  }

  /** Runs the scenario and returns what was recorded. */
  async run(): Promise<readonly HistoryEvent[]> {
    const {deployment} = this;
    await deployment.start();
    this.say(`${deployment.entries.size} entries and ${deployment.hosts.size} hosts are connected`);
    await this.startWork();
    await this.disturb();
    await this.shutDown();
    this.recorder.record({kind: 'history-ended'});
    return this.recorder.events;
  }

  /** Ends everything that was started. */
  async stop(): Promise<void> {
    await this.traffic?.stop();
    await this.watch?.stop();
    await this.deployment.stop();
  }

  /** Log lines at level error and other output on standard error. */
  getErrors(): readonly string[] {
    return this.deployment.getErrors();
  }

  private async startWork(): Promise<void> {
    const {deployment, recorder} = this;
    await this.applySoon(deployment.readIntent());
    await deployment.waitForKnownConfiguration();
    this.watch = new DemoWatch(deployment, recorder);
    this.watch.start();
    const entries = [...deployment.entries].map(([name, entry]) => ({
      name,
      address: entry.settings.listen.callers as string,
    }));
    this.traffic = new DemoTraffic(this.plan, entries, recorder);
    this.traffic.start();
    this.say('intent planned and confirmed; callers started');
    await pause(6000);
  }

  private async disturb(): Promise<void> {
    const {deployment, recorder} = this;
    const [first] = [...deployment.entries.keys()];
    const [one, two, third] = [...deployment.hosts.keys()];
    if (!first || !one || !two || !third) throw new Error('the plan has too few processes');
    await deployment.killEntry(first);
    this.say(`killed entry ${first}`);
    await pause(3000);
    await deployment.killBackend(third);
    this.say(`killed worker and backend server of ${third}`);
    await pause(3000);
    // The drained host has tasks, so that they are evicted and resumed.
    const second = recorder.countRuns(one) > recorder.countRuns(two) ? one : two;
    const operator = 'Demo Operator';
    await this.applySoon({operator, drains: [second]});
    recorder.record({kind: 'host-leaving', host: second});
    recorder.record({kind: 'faults-over'});
    this.say(`draining ${second}`);
    await pause(8000);
    await deployment.stopGracefully(second);
    this.say(`stopped the agent of ${second} gracefully`);
    await this.applySoon({operator, drains: [{host: third, draining: true}]});
    await pause(8000);
  }

  private async shutDown(): Promise<void> {
    const {deployment} = this;
    const [, second, ...others] = [...deployment.entries.keys()];
    if (second) await deployment.stopGracefully(second);
    this.say(`stopped entry ${second} gracefully under load`);
    await pause(1000);
    await this.watch?.stop();
    this.watch = undefined;
    const stopping = others.map(name => deployment.stopGracefully(name));
    await Promise.all([...stopping, this.traffic?.finish()]);
    const hosts = [...deployment.hosts.keys()];
    await Promise.all(hosts.map(name => deployment.stopGracefully(name)));
    this.say('stopped the rest');
  }

  /** Repeats an intent that the entries cannot confirm yet, as right after their start. */
  private async applySoon(intent: object): Promise<void> {
    const end = getSharedTime() + 8000;
    for (;;) {
      try {
        return await this.deployment.apply(intent);
      } catch (error) {
        if (getSharedTime() > end) throw error;
        await pause(200);
      }
    }
  }
}

async function pause(ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms));
}
