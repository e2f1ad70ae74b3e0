import type {AgentMessage, OwnerMessage} from '@chervilbeam/coordination';
import t from 'tap';
import {
  AgentNode,
  type Link,
  type LinkHandlers,
  ownerKey,
  type WorkerPort,
} from '../../src/dispatch/index.js';
import {SystemClock} from '../../src/loop/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {waitUntil} from './wait-until.js';
import {MemoryStore} from './memory-store.js';
import {createTestLog} from './silent-log.js';

/** A link to a host that never answers by itself. */
class SilentLink {
  isEnded = false;

  constructor(
    readonly address: string,
    readonly handlers: LinkHandlers<OwnerMessage>,
  ) {}

  send(): void {}

  end(): void {
    this.isEnded = true;
  }

  destroy(): void {
    this.isEnded = true;
  }
}

const silentWorker = {} as WorkerPort;

function createAgent(store: MemoryStore, seeds: readonly string[] = []) {
  const links: SilentLink[] = [];
  const agent = new AgentNode({
    name: 'agent',
    dataCentre: 'dc',
    incarnation: 1,
    store,
    worker: silentWorker,
    clock: new SystemClock(),
    log: createTestLog().log,
    metrics: new Metrics(),
    seeds,
    dial: (address, handlers) => {
      const link = new SilentLink(address, handlers);
      links.push(link);
      return link as unknown as Link<OwnerMessage, AgentMessage>;
    },
  });
  return {agent, links};
}

function claim(store: MemoryStore, address: string): void {
  store.put(ownerKey, JSON.stringify({name: address, address, nonce: address}));
}

void t.test('a new owner is dialled while a host without power is still being dialled', async t => {
  const store = new MemoryStore();
  claim(store, '10.0.0.1:1');
  const {agent, links} = createAgent(store);
  agent.start();
  await waitUntil(() => links.length === 1);
  claim(store, '10.0.0.2:1');
  await waitUntil(() => links.length === 2);
  t.equal(links[1]?.address, '10.0.0.2:1');
  t.ok(links[0]?.isEnded, 'the former attempt is given up');
  agent.stop();
});

void t.test('an agent leaves an owner that has been replaced without knowing it', async t => {
  const store = new MemoryStore();
  claim(store, '10.0.0.1:1');
  const {agent, links} = createAgent(store);
  agent.start();
  await waitUntil(() => links.length === 1);
  links[0]?.handlers.message({kind: 'owner', term: store.revision, entries: []});
  claim(store, '10.0.0.2:1');
  await waitUntil(() => links.length === 2);
  t.equal(links[1]?.address, '10.0.0.2:1');
  t.ok(links[0]?.isEnded, 'the link to the former owner is closed');
  agent.stop();
});

void t.test('entries are asked for the owner while the store does not answer', async t => {
  const store = new MemoryStore();
  store.faults = Array.from({length: 1_000}, () => 'refused' as const);
  const {agent, links} = createAgent(store, ['10.0.0.1:1', '10.0.0.2:1']);
  agent.start();
  await waitUntil(() => links.length >= 2);
  t.same(new Set(links.map(link => link.address)), new Set(['10.0.0.1:1', '10.0.0.2:1']));
  agent.stop();
});

void t.test('entries that name each other as the owner do not keep an agent busy', async t => {
  const store = new MemoryStore();
  store.faults = Array.from({length: 1_000}, () => 'refused' as const);
  const {agent, links} = createAgent(store, ['10.0.0.1:1']);
  agent.start();
  await waitUntil(() => links.length === 1);
  for (let hop = 0; hop < 5; hop += 1) {
    links
      .at(-1)
      ?.handlers.message({kind: 'elsewhere', address: `10.0.0.${hop + 2}:1`, entries: []});
  }
  t.equal(links.length, 3, 'two redirections are followed at once');
  agent.stop();
});
