import t from 'tap';
import {Dispatcher, type DispatchEffect, type DispatchEvent} from '../../../src/dispatch/index.js';
import {createStep, createSubmission} from '../fleet/shared-load.js';
import {createConfiguration, createQueue} from '../fleet/virtual-fleet.js';

const queue = createQueue({name: 'work'});
const id = '00000000000000d1';
const lease = {clockMs: 0, term: 1, token: 1, ends: []};

/** An owner with one worker, whose placement rounds a test leaves out. */
class Owner {
  readonly effects: DispatchEffect[] = [];
  private readonly dispatcher = new Dispatcher();

  constructor() {
    const {term} = lease;
    const configuration = createConfiguration([queue]);
    this.post({kind: 'configuration', configuration}, 0);
    const empty = {submissions: [], roster: [], wallMs: 0};
    this.post({kind: 'begin', term, generation: 1, ...empty}, 0);
  }

  /** Adds a worker that takes tasks. */
  addWorker(agent: string): void {
    const capacity = {processors: 8, memoryMb: 8_000, accelerators: 0, slots: 0};
    const description = {id: agent, service: 'service', dataCentre: 'dc', rack: 'r', labels: []};
    const worker = {...description, life: agent, capacity, state: 'ready'} as const;
    this.post({kind: 'agent-up', agent}, 0);
    this.post({kind: 'message', agent, message: {kind: 'worker', worker}}, 0);
    this.report(agent, 0);
    this.post({kind: 'settle'}, 0);
    this.post({kind: 'written', sequence: 1, result: 'ok', revision: 1}, 0);
  }

  report(agent: string, at: number): void {
    const message = {kind: 'report', life: agent, running: [], ...lease, clockMs: at} as const;
    this.post({kind: 'message', agent, message}, at);
  }

  post(event: DispatchEvent, at: number): void {
    this.effects.push(...this.dispatcher.reduce(event, at));
  }

  tick(at: number): void {
    this.post({kind: 'tick', wallMs: at}, at);
  }

  getLines() {
    return this.effects.flatMap(effect =>
      effect.kind === 'log' && effect.decision.event === 'task-waiting' ? [effect.decision] : [],
    );
  }

  /** Returns the sums of the counters and histograms of stalled submissions. */
  getMetrics(): Readonly<Record<string, number>> {
    const sums: Record<string, number> = {};
    for (const effect of this.effects) {
      if (effect.kind !== 'count' && effect.kind !== 'observe') continue;
      if (!effect.name.includes('_stall')) continue;
      const value = effect.kind === 'count' ? effect.by : effect.valueMs;
      sums[effect.name] = (sums[effect.name] ?? 0) + value;
    }
    return sums;
  }
}

const submission = createSubmission(id, queue.key, [createStep({})]);

const ends: ReadonlyArray<{readonly name: string; readonly event: DispatchEvent}> = [
  {name: 'it is cancelled', event: {kind: 'cancelled', id}},
  {name: 'the ownership ends', event: {kind: 'end', reason: 'lost'}},
];

for (const {name, event} of ends) {
  void t.test(`a submission counts as stalled from 3 s until ${name}`, async t => {
    const owner = new Owner();
    owner.post({kind: 'submitted', submission}, 0);
    for (let at = 0; at < 3_000; at += 100) owner.tick(at);
    t.same(owner.getMetrics(), {});
    for (let at = 3_000; at <= 7_000; at += 100) owner.tick(at);
    t.same(owner.getMetrics(), {submissions_stalled: 1});
    owner.post(event, 7_000);
    owner.tick(8_000);
    const {submissions_stalled_ended: ended, submission_stall: ms = 0} = owner.getMetrics();
    t.equal(ended, 1);
    t.ok(ms >= 7_000 && ms <= 8_000, `${ms} ms`);
  });
}

void t.test('the log tells that a worker would take a task that no round has come to', async t => {
  const owner = new Owner();
  owner.addWorker('w0');
  owner.post({kind: 'submitted', submission}, 0);
  for (let at = 0; at <= 3_000; at += 100) {
    owner.report('w0', at);
    owner.tick(at);
  }
  t.match(owner.getLines(), [
    {submission: id, reason: 'awaiting-round', workers: 1, refusals: '', stalled: 1},
  ]);
});

void t.test('explaining neither starts a task nor changes the start of another', async t => {
  const [explained, other] = [new Owner(), new Owner()];
  for (const owner of [explained, other]) {
    owner.addWorker('w0');
    owner.post({kind: 'submitted', submission}, 0);
  }
  for (let at = 0; at <= 9_000; at += 1_000) explained.tick(at);
  const getStarts = (owner: Owner) => owner.effects.filter(({kind}) => kind === 'send');
  t.not(explained.getLines().length, 0);
  for (const owner of [explained, other]) {
    owner.report('w0', 9_100);
    owner.post({kind: 'place'}, 9_100);
  }
  const [a, b] = [explained, other].map(owner => getStarts(owner).at(-1));
  t.match(a, {message: {kind: 'start', task: `${id}.0.0.0`, run: 1}});
  t.match(b, {message: {kind: 'start', task: `${id}.0.0.0`, run: 1}});
});
