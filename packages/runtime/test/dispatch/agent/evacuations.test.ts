import type {OwnerMessage, WorkerDescription} from '@chervilbeam/coordination';
import t from 'tap';
import type {StartCommand, WorkerPort} from '../../../src/dispatch/index.js';
import {waitUntil} from '../wait-until.js';
import {AnsweringWorker, createDescription, createOwnedAgent, term} from './agent-fixture.js';

/** Data centre of the agent of the fixture. */
const own = 'dc';
const task = '00000000000000a1.0.0.0';
const life = 'w@1000';

const evacuations = (revision: number, ...dataCentres: string[]): OwnerMessage => ({
  kind: 'evacuations',
  revision,
  dataCentres,
});

const acceptance = (revision: number, ...dataCentres: string[]): OwnerMessage => ({
  kind: 'owner',
  term,
  entries: [],
  evacuations: {revision, dataCentres},
});

// The agent decides last: a start that is on its way when the owner learns of an evacuation must not reach the worker.
const cases: ReadonlyArray<{
  readonly name: string;
  readonly messages: readonly OwnerMessage[];
  readonly worker?: Partial<WorkerDescription>;
  readonly outcome: object;
}> = [
  {name: 'no evacuation is known', messages: [], outcome: {kind: 'accepted'}},
  {
    name: 'the data centre is evacuated',
    messages: [evacuations(5, own)],
    outcome: {kind: 'refused', reason: 'evacuated'},
  },
  {
    name: 'the acceptance message of the owner names it',
    messages: [acceptance(5, 'other', own)],
    outcome: {kind: 'refused', reason: 'evacuated'},
  },
  {
    name: 'another data centre is evacuated',
    messages: [evacuations(5, 'other')],
    outcome: {kind: 'accepted'},
  },
  {
    name: 'the worker names another data centre than its agent',
    messages: [evacuations(5, 'other')],
    worker: {dataCentre: 'other'},
    outcome: {kind: 'refused', reason: 'evacuated'},
  },
  {
    name: 'an older set arrives after a newer one',
    messages: [evacuations(5, own), evacuations(4)],
    outcome: {kind: 'refused', reason: 'evacuated'},
  },
  {
    name: 'the next owner knows only an older set',
    messages: [evacuations(5, own), acceptance(4)],
    outcome: {kind: 'refused', reason: 'evacuated'},
  },
  {
    name: 'the next owner is of a version without evacuations',
    messages: [evacuations(5, own), {kind: 'owner', term, entries: []}],
    outcome: {kind: 'refused', reason: 'evacuated'},
  },
  {
    name: 'the data centre has been taken back',
    messages: [evacuations(5, own), evacuations(6)],
    outcome: {kind: 'accepted'},
  },
  {
    name: 'the data centre is evacuated again',
    messages: [evacuations(5, own), evacuations(6), evacuations(7, own)],
    outcome: {kind: 'refused', reason: 'evacuated'},
  },
];

for (const {name, messages, worker: fields, outcome} of cases) {
  void t.test(`a start when ${name}`, async t => {
    const worker = new AnsweringWorker();
    const starts: StartCommand[] = [];
    (worker.port as {start: WorkerPort['start']}).start = async (_id, order) => {
      starts.push(order);
      return {outcome: {kind: 'accepted'}};
    };
    const {agent, sent, receive, getWorkers} = await createOwnedAgent(t, worker);
    agent.updateWorker({...createDescription(life), ...fields});
    await waitUntil(() => getWorkers().length > 0);
    for (const message of messages) receive(message);
    receive({kind: 'start', order: 1, life, term, task, run: 1, spec: 'x', deadlineMs: 9});
    await waitUntil(() => sent.some(message => message.kind === 'result'));
    t.match(
      sent.filter(message => message.kind === 'result'),
      [{order: 1, term, outcome}],
    );
    t.equal(starts.length, 'reason' in outcome ? 0 : 1, 'calls to the worker');
  });
}
