import type {AgentMessage, EvacuationSet, OwnerMessage} from '@chervilbeam/coordination';
import t, {type Test} from 'tap';
import type {EvacuationSource, Link} from '../../../src/dispatch/index.js';
import {OwnerProcess} from '../../../src/dispatch/ownership/owner-process.js';
import {SystemClock} from '../../../src/loop/index.js';
import {Metrics} from '../../../src/metrics/index.js';
import {MemoryStore} from '../records/memory-store.js';
import {createTestLog} from '../test-log.js';
import {waitUntil} from '../wait-until.js';

const east: EvacuationSet = {revision: 40, dataCentres: ['east']};

function createOwner(t: Test, evacuations?: EvacuationSource): OwnerProcess {
  const owner = new OwnerProcess({
    name: 'entry-1',
    address: '10.0.0.1:1',
    processors: 1,
    incarnation: 'one',
    store: new MemoryStore(),
    clock: new SystemClock(),
    log: createTestLog().log,
    metrics: new Metrics(),
    ...(evacuations && {evacuations}),
    getOtherProcessors: () => [],
    askOwnershipEnd: async () => undefined,
    onOwner: () => {},
    onOwnership: () => {},
  });
  t.teardown(() => owner.drain());
  owner.start();
  return owner;
}

function connect(owner: OwnerProcess, agent: string): OwnerMessage[] {
  const sent: OwnerMessage[] = [];
  const link = {send: (message: OwnerMessage) => void sent.push(message), destroy() {}, end() {}};
  owner.addAgent(agent, link as unknown as Link<AgentMessage, OwnerMessage>, []);
  return sent;
}

void t.test('a new owner reads the evacuations before it accepts agents', async t => {
  let isReadable = false;
  let reads = 0;
  const owner = createOwner(t, {
    read: async () => {
      reads += 1;
      return isReadable ? east : undefined;
    },
  });
  await waitUntil(() => reads >= 2);
  t.notOk(owner.isOwner, 'it does not begin without them');
  isReadable = true;
  await waitUntil(() => owner.isOwner);
  t.match(connect(owner, 'agent-1'), [{kind: 'owner', evacuations: east}]);
});

void t.test('an owner passes on sets that are newer, from whatever source', async t => {
  const owner = createOwner(t, {read: async () => east});
  await waitUntil(() => owner.isOwner);
  const sent = connect(owner, 'agent-1');
  owner.updateEvacuations({revision: 39, dataCentres: []});
  owner.updateEvacuations({revision: 40, dataCentres: ['west']});
  owner.updateEvacuations({revision: 41, dataCentres: ['east', 'west']});
  owner.updateEvacuations({revision: 42, dataCentres: []});
  t.same(
    sent.filter(message => message.kind === 'evacuations'),
    [
      {kind: 'evacuations', revision: 41, dataCentres: ['east', 'west']},
      {kind: 'evacuations', revision: 42, dataCentres: []},
    ],
  );
  t.match(connect(owner, 'agent-2'), [
    {kind: 'owner', evacuations: {revision: 42, dataCentres: []}},
  ]);
});

void t.test('an owner without evacuations sends what it sent before', async t => {
  const owner = createOwner(t);
  await waitUntil(() => owner.isOwner);
  const [message] = connect(owner, 'agent-1');
  t.same(Object.keys(message ?? {}), ['kind', 'term', 'token', 'entries']);
});
