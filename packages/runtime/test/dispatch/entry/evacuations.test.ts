import type {AgentMessage, EvacuationSet, OwnerMessage} from '@chervilbeam/coordination';
import t, {type Test} from 'tap';
import {
  dialLink,
  type EntryRequest,
  type EntryResponse,
  type Link,
} from '../../../src/dispatch/index.js';
import {MemoryStore} from '../records/memory-store.js';
import {waitUntil} from '../wait-until.js';
import {startEntry} from './entry-fixture.js';

const nothing: EvacuationSet = {revision: 1, dataCentres: []};

/** Connects an agent and returns the sets that it receives. */
function connectAgent(t: Test, address: string) {
  const sets: EvacuationSet[] = [];
  const link: Link<OwnerMessage, AgentMessage> = dialLink(address, {
    message: message => {
      if (message.kind === 'evacuations') sets.push(message);
      else if (message.kind === 'owner' && message.evacuations) sets.push(message.evacuations);
    },
    closed: () => {},
  });
  t.teardown(() => link.destroy('test'));
  link.send({kind: 'agent', agent: 'agent-1', dataCentre: 'east', incarnation: 1});
  return sets;
}

void t.test(
  'an owner that the store does not answer hears of an evacuation from a peer',
  async t => {
    const store = new MemoryStore();
    const owner = await startEntry(t, 'entry-1', store, {read: async () => nothing});
    await waitUntil(() => owner.node.isOwner);
    const sets = connectAgent(t, owner.address);
    await waitUntil(() => sets.length === 1);
    const peerStore = new MemoryStore();
    const record = {name: 'entry-1', address: owner.address, nonce: 'entry-1-1'};
    peerStore.put('work/owner', JSON.stringify(record));
    const peer = await startEntry(t, 'entry-2', peerStore, {read: async () => nothing});
    // From now on the owner's calls fail; its watch has missed the change.
    store.faults = Array.from({length: 1_000}, () => 'refused' as const);
    peer.node.updateEvacuations({revision: 50, dataCentres: ['east']});
    await waitUntil(() => sets.length === 2);
    t.match(sets[1], {revision: 50, dataCentres: ['east']});
  },
);

void t.test('a set that was learned before the link to the owner is sent on the link', async t => {
  const store = new MemoryStore();
  const owner = await startEntry(t, 'entry-1', store, {read: async () => nothing});
  await waitUntil(() => owner.node.isOwner);
  const sets = connectAgent(t, owner.address);
  const peerStore = new MemoryStore();
  const peer = await startEntry(t, 'entry-2', peerStore, {read: async () => nothing});
  peer.node.updateEvacuations({revision: 50, dataCentres: ['east']});
  const record = {name: 'entry-1', address: owner.address, nonce: 'entry-1-1'};
  peerStore.put('work/owner', JSON.stringify(record));
  await waitUntil(() => sets.some(set => set.revision === 50));
});

void t.test('an entry without evacuations ignores those of a peer', async t => {
  const owner = await startEntry(t, 'entry-1', new MemoryStore());
  await waitUntil(() => owner.node.isOwner);
  const replies: EntryResponse[] = [];
  const link: Link<EntryResponse, EntryRequest> = dialLink(owner.address, {
    message: message => void replies.push(message),
    closed: () => {},
  });
  t.teardown(() => link.destroy('test'));
  link.send({kind: 'evacuations', revision: 50, dataCentres: ['east']});
  link.send({kind: 'query', request: 1, id: 'a'});
  await waitUntil(() => replies.some(reply => reply.kind === 'status'));
  t.same(connectAgent(t, owner.address), []);
});
