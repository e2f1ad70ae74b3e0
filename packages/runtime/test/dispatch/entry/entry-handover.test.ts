import type {AgentMessage, OwnerMessage} from '@chervilbeam/coordination';
import t, {type Test} from 'tap';
import {EntryNode} from '../../../src/dispatch/index.js';
import {dialLink, type Link} from '../../../src/dispatch/links/link.js';
import {SystemClock} from '../../../src/loop/index.js';
import {Metrics} from '../../../src/metrics/index.js';
import {MemoryStore} from '../records/memory-store.js';
import {createTestLog} from '../test-log.js';
import {waitUntil} from '../wait-until.js';
import {getFreeAddress} from './entry-fixture.js';

/** Time in milliseconds in which an owner may hand over. */
const limitMs = 2_000;

async function startEntry(t: Test, name: string, store: MemoryStore, address: string) {
  const {log, lines} = createTestLog();
  const clock = new SystemClock();
  const node = new EntryNode({
    name,
    address,
    processors: 1,
    incarnation: name,
    store,
    clock,
    log,
    metrics: new Metrics(),
  });
  await node.start();
  t.teardown(() => node.stop());
  return {node, address, events: () => lines.map(({event}) => String(event))};
}

/** Connects to an entry as an agent does, and records the messages of the entry. */
function connectAgent(t: Test, address: string): OwnerMessage[] {
  const received: OwnerMessage[] = [];
  const link: Link<OwnerMessage, AgentMessage> = dialLink(address, {
    message: message => received.push(message),
    closed: () => {},
  });
  link.send({kind: 'agent', agent: 'agent-1', dataCentre: 'dc', incarnation: 1});
  t.teardown(() => link.destroy('end'));
  return received;
}

void t.test('an agent is sent to the successor, which accepts it at once', async t => {
  const store = new MemoryStore();
  const address = await getFreeAddress();
  // An entry reads the list of entries at its start, and again only after some seconds.
  store.put('entry/entry-2', JSON.stringify({address, processors: 1}));
  const first = await startEntry(t, 'entry-1', store, await getFreeAddress());
  await waitUntil(() => first.node.isOwner);
  const second = await startEntry(t, 'entry-2', store, address);
  await waitUntil(() => store.records.get('entry/entry-2')?.lease !== undefined);
  const watched = connectAgent(t, first.address);
  await waitUntil(() => watched.length > 0);

  // The successor takes long to complete its state.
  const read = store.read.bind(store);
  let continueBegin = () => {};
  const mayBegin = new Promise<void>(resolve => (continueBegin = resolve));
  store.read = async key => {
    if (key === 'roster') await mayBegin;
    return read(key);
  };
  const drained = first.node.drain(limitMs);
  await waitUntil(() => watched.at(-1)?.kind === 'elsewhere');
  const redirection = watched.at(-1);
  t.match(redirection, {kind: 'elsewhere', address: second.address});
  const answers = connectAgent(t, second.address);
  await new Promise(resolve => setTimeout(resolve, 100));
  t.same(answers, [], 'it waits for the successor to begin');
  continueBegin();
  await waitUntil(() => answers.length > 0);
  t.equal(answers[0]?.kind, 'owner');
  await drained;
  t.ok(second.node.isOwner);
  t.notOk(first.node.isOwner);
});
