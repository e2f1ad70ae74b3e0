import type {AgentMessage, OwnerMessage, Submission} from '@chervilbeam/coordination';
import t, {type Test} from 'tap';
import type {Link} from '../../../src/dispatch/index.js';
import {OwnerProcess} from '../../../src/dispatch/ownership/owner-process.js';
import {SystemClock} from '../../../src/loop/index.js';
import {Metrics} from '../../../src/metrics/index.js';
import {LateStore} from '../records/late-store.js';
import {configuration, queue, submit} from '../submissions/submission-fixture.js';
import {createTestLog} from '../test-log.js';
import {waitUntil} from '../wait-until.js';

const agent = 'agent-1';
const life = 'i-1@1';
const id = '00000000000000d1';
const submission: Submission = {
  id,
  queue: queue.key,
  service: queue.service,
  ...(submit.kind === 'submit' && submit.draft),
  acceptedAtMs: Date.now(),
} as Submission;

/** Time in milliseconds in which an owner that has recovered places all tasks. */
const placementMs = 300;

type Start = Extract<OwnerMessage, {kind: 'start'}>;
type RunEnd = Extract<AgentMessage, {kind: 'report'}>['ends'][number];

/** An owner with the link of one agent, whose worker starts all it is told to. */
class OwnerFixture {
  readonly sent: OwnerMessage[] = [];
  private readonly owner: OwnerProcess;
  private readonly link: Link<AgentMessage, OwnerMessage>;
  private readonly running = new Map<string, number>();
  private readonly ends: RunEnd[] = [];
  private readonly log = createTestLog();

  constructor(store: LateStore, name: string) {
    this.link = {
      send: (message: OwnerMessage) => this.handle(message),
      destroy: () => {},
      end: () => {},
    } as unknown as Link<AgentMessage, OwnerMessage>;
    this.owner = new OwnerProcess({
      name,
      address: `${name}:1`,
      processors: 1,
      incarnation: name,
      store,
      clock: new SystemClock(),
      log: this.log.log,
      metrics: new Metrics(),
      getOtherProcessors: () => [],
      askOwnershipEnd: async () => 10_000,
      onOwner: () => {},
      onOwnership: () => {},
    });
    this.owner.configure(configuration);
  }

  /** Becomes the owner; the worker lists `running` runs and no ends. */
  async begin(running: ReadonlyMap<string, number> = new Map()): Promise<void> {
    for (const [task, run] of running) this.running.set(task, run);
    this.owner.start();
    await waitUntil(() => this.owner.isOwner);
    this.owner.addAgent(agent, this.link, []);
    this.receive({
      kind: 'worker',
      worker: {
        life,
        id: 'i-1',
        service: queue.service,
        dataCentre: 'dc',
        rack: 'r1',
        labels: [],
        capacity: {processors: 16, memoryMb: 64_000, accelerators: 0, slots: 0},
        state: 'ready',
      },
    });
    this.report();
  }

  get hasRecovered(): boolean {
    return this.log.lines.some(line => line.event === 'recovery-finished');
  }

  get starts(): Start[] {
    return this.sent.filter(message => message.kind === 'start');
  }

  get acknowledged(): number {
    const leases = this.sent.filter(message => message.kind === 'lease');
    return leases.at(-1)?.acknowledged ?? 0;
  }

  /** Reports that a run has ended as done. */
  finish({task, run}: Start): void {
    this.running.delete(task);
    this.ends.push([this.ends.length + 1, task, run, 'done', '']);
    this.report();
  }

  /** Runs on the worker by task. */
  getRunning(): ReadonlyMap<string, number> {
    return this.running;
  }

  stop(): void {
    void this.owner.drain();
  }

  private handle(message: OwnerMessage): void {
    this.sent.push(message);
    if (message.kind !== 'start') return;
    this.running.set(message.task, message.run);
    setImmediate(() => {
      const {order, term} = message;
      this.receive({kind: 'result', order, term, outcome: {kind: 'accepted'}});
      this.report();
    });
  }

  private report(): void {
    const owner = this.sent.find(message => message.kind === 'owner');
    const running = [...this.running].map(([task, run]) => [task, run, '', 50, 0] as const);
    this.receive({
      kind: 'report',
      life,
      term: owner?.term ?? 0,
      clockMs: Math.round(performance.now()),
      running,
      ends: this.ends.filter(([end]) => end > this.acknowledged),
    });
  }

  private receive(message: AgentMessage): void {
    this.owner.receive(agent, this.link, message);
  }
}

function createOwner(t: Test, store: LateStore, name: string): OwnerFixture {
  const owner = new OwnerFixture(store, name);
  t.teardown(() => owner.stop());
  return owner;
}

const cases: ReadonlyArray<{
  readonly name: string;
  /** Number of attempts of the first write that are held back. */
  readonly held: number;
  /** Number of tasks that have finished when the held attempts are executed. */
  readonly finished: number;
}> = [
  {name: 'one attempt, executed after a newer write', held: 1, finished: 2},
  {name: 'two attempts, executed after two newer writes', held: 2, finished: 3},
];

for (const {name, held, finished} of cases) {
  void t.test(`a write that takes effect late does not revive finished tasks: ${name}`, async t => {
    const store = new LateStore();
    store.put(`work/job/${id}`, JSON.stringify(submission));
    const first = createOwner(t, store, 'one');
    await first.begin();
    await waitUntil(() => first.starts.length === 4);
    store.held = held;
    for (const [index, start] of first.starts.slice(0, finished).entries()) {
      first.finish(start);
      await waitUntil(() => first.acknowledged === index + 1);
    }
    await store.deliver();
    first.stop();
    const second = createOwner(t, store, 'two');
    await second.begin(first.getRunning());
    await waitUntil(() => second.hasRecovered);
    await new Promise(resolve => setTimeout(resolve, placementMs));
    t.same(second.starts, [], 'no task starts again');
  });
}
