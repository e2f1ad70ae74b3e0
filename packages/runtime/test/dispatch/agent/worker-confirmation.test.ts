import type {WorkerDescription} from '@chervilbeam/coordination';
import t from 'tap';
import {waitUntil} from '../wait-until.js';
import {
  AnsweringWorker,
  answerMs,
  createDescription,
  createOwnedAgent,
  heartbeatIntervalMs,
} from './agent-fixture.js';

/** Time in milliseconds in which the end of a worker that has said farewell is noticed. */
const farewellRetryMs = 150;
/** Time in milliseconds for which a worker refuses connections; it covers the time after which it counts as gone. */
const refusalMs = 1_500;

// A heartbeat of another writer replaced a sound worker, and the owner started its running tasks again elsewhere.
const strangeHeartbeats: ReadonlyArray<{
  readonly name: string;
  readonly worker: WorkerDescription;
}> = [
  {
    name: 'for another service, with an id of its own and a later start',
    worker: {...createDescription('other@5000'), service: 'unknown'},
  },
  {
    name: 'for the same service, with an id of its own and a later start',
    worker: createDescription('other@5000'),
  },
  {name: 'with an earlier start', worker: createDescription('other@500')},
  {name: 'with the id of the worker and a later start', worker: createDescription('w@5000')},
  {name: 'with the id of the worker and no start', worker: createDescription('w@0')},
  {
    name: 'of the same incarnation for another service',
    worker: {...createDescription('w@1000'), service: 'unknown', state: 'draining'},
  },
];

for (const {name, worker: strange} of strangeHeartbeats) {
  void t.test(`a heartbeat ${name} does not replace the worker that answers`, async t => {
    const worker = new AnsweringWorker();
    const {agent, sent, getWorkers, countReports} = await createOwnedAgent(t, worker);
    agent.updateWorker(createDescription('w@1000'));
    await waitUntil(() => countReports() > 0);
    agent.updateWorker(strange);
    await new Promise(resolve => setTimeout(resolve, answerMs * 10));
    agent.updateWorker({...createDescription('w@1000'), state: 'draining'});
    t.same(
      getWorkers().map(message => [
        message.worker.life,
        message.worker.service,
        message.worker.state,
      ]),
      [
        ['w@1000', 'service', 'ready'],
        ['w@1000', 'service', 'draining'],
      ],
    );
    t.notOk(sent.some(message => message.kind === 'worker-gone'));
  });

  if (strange.life === 'w@1000') continue;
  void t.test(`a heartbeat ${name} that comes first does not keep the worker out`, async t => {
    const worker = new AnsweringWorker();
    const {agent, getWorkers, countReports} = await createOwnedAgent(t, worker);
    agent.updateWorker(strange);
    agent.updateWorker(createDescription('w@1000'));
    // On a busy machine the worker's answers take longer than planned.
    await waitUntil(() => countReports() > 0);
    await new Promise(resolve => setTimeout(resolve, answerMs * 10));
    t.same(
      getWorkers().map(message => message.worker.life),
      ['w@1000'],
    );
  });
}

void t.test('a restarted worker replaces its previous incarnation once it answers', async t => {
  const worker = new AnsweringWorker();
  const {agent, getWorkers, countReports} = await createOwnedAgent(t, worker);
  agent.updateWorker(createDescription('w@1000'));
  await waitUntil(() => countReports() > 0);
  worker.life = 'next@2000';
  worker.isSilent = true;
  agent.updateWorker(createDescription('next@2000'));
  await new Promise(resolve => setTimeout(resolve, 50));
  t.same(
    getWorkers().map(message => message.worker.life),
    ['w@1000'],
  );
  worker.isSilent = false;
  await waitUntil(() => getWorkers().length === 2);
  t.equal(getWorkers().at(-1)?.worker.life, 'next@2000');
  agent.updateWorker(createDescription('w@1000'));
  await new Promise(resolve => setTimeout(resolve, 50));
  t.equal(getWorkers().length, 2, 'a late heartbeat of the previous incarnation changes nothing');
});

const farewells: ReadonlyArray<{
  readonly name: string;
  readonly id: string;
  readonly startedAtMs?: number;
  readonly isHeard: boolean;
}> = [
  {name: 'of the present incarnation', id: 'w', startedAtMs: 1_000, isHeard: true},
  {name: 'without a start time', id: 'w', isHeard: true},
  {name: 'of an earlier incarnation', id: 'w', startedAtMs: 500, isHeard: false},
  {name: 'of another worker', id: 'other', isHeard: false},
];

for (const {name, id, startedAtMs, isHeard} of farewells) {
  // The runs of a worker that had said farewell were started elsewhere while it was still up.
  void t.test(`a farewell ${name} ${isHeard ? 'announces the end' : 'is ignored'}`, async t => {
    const worker = new AnsweringWorker();
    const {agent, sent, getWorkers, countReports} = await createOwnedAgent(t, worker);
    const isGone = () => sent.some(message => message.kind === 'worker-gone');
    agent.updateWorker(createDescription('w@1000'));
    await waitUntil(() => countReports() > 0);
    agent.handleFarewell(id, startedAtMs);
    await new Promise(resolve => setTimeout(resolve, answerMs * 10));
    t.equal(getWorkers().at(-1)?.worker.state, isHeard ? 'draining' : 'ready');
    t.notOk(isGone(), 'its runs go on while it answers');
    worker.isRefusing = true;
    await new Promise(resolve => setTimeout(resolve, farewellRetryMs));
    t.equal(isGone(), isHeard);
  });
}

// Runs of a worker that refused connections for less than a second were started elsewhere, while they went on.
const silences: ReadonlyArray<{
  readonly name: string;
  readonly hasHeartbeats: boolean;
  readonly isGone: boolean;
}> = [
  {name: 'whose heartbeats go on', hasHeartbeats: true, isGone: false},
  {name: 'whose heartbeats have stopped', hasHeartbeats: false, isGone: true},
];

for (const {name, hasHeartbeats, isGone} of silences) {
  const outcome = isGone ? 'counts as gone' : 'does not count as gone';
  void t.test(`a worker that refuses connections and ${name} ${outcome}`, async t => {
    const worker = new AnsweringWorker();
    const {agent, sent, countReports} = await createOwnedAgent(t, worker);
    const description = createDescription('w@1000');
    agent.updateWorker(description);
    await waitUntil(() => countReports() > 0);
    worker.isRefusing = true;
    const timer = setInterval(() => {
      if (hasHeartbeats) agent.updateWorker(description);
    }, heartbeatIntervalMs);
    t.teardown(() => clearInterval(timer));
    await new Promise(resolve => setTimeout(resolve, refusalMs));
    t.equal(
      sent.some(message => message.kind === 'worker-gone'),
      isGone,
    );
    worker.isRefusing = false;
    const reports = countReports();
    if (!isGone) await waitUntil(() => countReports() > reports);
  });
}
