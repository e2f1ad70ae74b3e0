import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {unknownEvacuations} from '@chervilbeam/coordination';
import t from 'tap';
import {
  type AttemptState,
  EntryPeers,
  type EntryRequest,
  type EntryResponse,
} from '../../../src/dispatch/index.js';
import {Link, listenForLinks} from '../../../src/dispatch/links/link.js';
import {TrafficMeter} from '../../../src/dispatch/links/traffic-meter.js';
import {Metrics} from '../../../src/metrics/index.js';
import {ManualClock} from '../manual-clock.js';
import {MemoryStore} from '../records/memory-store.js';
import {oddAddresses} from '../odd-addresses.js';
import {createTestLog} from '../test-log.js';
import {waitUntil} from '../wait-until.js';

const id = '00000000000000a1';
/** Time in milliseconds after which a caller repeats no attempt any more. */
const afterRepeatsMs = 5_000;

/** Starts the peers of an entry beside one other entry, which answers with `state`, or not at all without one. */
async function startPeers(state: AttemptState | undefined, oddAddress?: string) {
  const sockets: Socket[] = [];
  const server = await listenForLinks('127.0.0.1:0', socket => {
    sockets.push(socket);
    const link: Link<EntryRequest, EntryResponse> = new Link(socket, {
      message: message => {
        if (message.kind !== 'attempt' || state === undefined) return;
        link.send({kind: 'attempt-state', request: message.request, state});
      },
      closed: () => {},
    });
  });
  const other = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const store = new MemoryStore();
  store.put('entry/other', JSON.stringify({address: other, processors: 1}));
  if (oddAddress !== undefined) {
    store.put('entry/odd', JSON.stringify({address: oddAddress, processors: 1}));
  }
  const clock = new ManualClock();
  const {log, lines} = createTestLog();
  const peers = new EntryPeers({
    name: 'this',
    address: '127.0.0.1:1',
    store,
    clock,
    log,
    traffic: new TrafficMeter(new Metrics(), log),
    getEvacuations: () => unknownEvacuations,
    onQueueBacklogs: () => {},
  });
  peers.start();
  await waitUntil(() => peers.addresses.includes(other));
  const stop = () => {
    peers.stop();
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  return {peers, clock, other, server, sockets, lines, stop};
}

type Fixture = Awaited<ReturnType<typeof startPeers>>;

const cases: ReadonlyArray<{
  readonly name: string;
  readonly state?: AttemptState;
  readonly act?: (fixture: Fixture) => Promise<void>;
  readonly expected: AttemptState;
}> = [
  {name: 'an entry knows of no attempt', state: 'none', expected: 'none'},
  {name: 'an entry has stored the submission', state: 'stored', expected: 'stored'},
  {name: 'an entry has a write without an answer', state: 'unresolved', expected: 'unresolved'},
  {name: 'an entry that does not answer may have an attempt', expected: 'unresolved'},
  {
    name: 'an entry that has just started does not know what its predecessor did',
    state: 'none',
    act: async ({clock}) => void (clock.timeMs -= afterRepeatsMs),
    expected: 'unresolved',
  },
  {
    name: 'an entry whose link broke may have been replaced',
    state: 'none',
    act: async ({peers, other, sockets}) => {
      peers.setOwner(other);
      await waitUntil(() => sockets.length === 1);
      sockets[0]?.destroy();
      // The link to the owner is dialled again.
      await waitUntil(() => sockets.length === 2);
    },
    expected: 'unresolved',
  },
  {
    name: 'an entry that cannot be reached may have stored the submission before',
    act: async ({server}) => {
      server.close();
      await once(server, 'close');
    },
    expected: 'unresolved',
  },
  {
    name: 'an entry that stays away is lost once only',
    act: async ({peers, server, clock}) => {
      server.close();
      await once(server, 'close');
      await peers.findAttempt(id);
      clock.timeMs += afterRepeatsMs;
    },
    expected: 'none',
  },
  {
    name: 'a link that is ended because the owner has changed is no loss',
    state: 'none',
    act: async ({peers, other, sockets}) => {
      peers.setOwner(other);
      await waitUntil(() => sockets.length === 1);
      const closed = once(sockets[0] as Socket, 'close');
      peers.setOwner(undefined);
      await closed;
    },
    expected: 'none',
  },
];

for (const {name, state, act, expected} of cases) {
  void t.test(name, async t => {
    const fixture = await startPeers(state);
    t.teardown(fixture.stop);
    fixture.clock.timeMs += afterRepeatsMs;
    await act?.(fixture);
    t.equal(await fixture.peers.findAttempt(id), expected);
  });
}

for (const address of oddAddresses) {
  void t.test(`an entry with the address "${address.slice(0, 20)}" is left out`, async t => {
    const {peers, clock, other, lines, stop} = await startPeers('none', address);
    t.teardown(stop);
    clock.timeMs += afterRepeatsMs;
    t.same(peers.addresses, [other]);
    t.match(lines, [{event: 'record-unreadable', key: 'entry/odd'}]);
    t.equal(await peers.findAttempt(id), 'none');
    const call = {kind: 'query', queue: 'q', id} as const;
    // The other entry does not answer calls; none is relayed to the odd one.
    for (let turn = 0; turn < 2; turn += 1) t.equal(await peers.relay(call, 20), undefined);
  });

  void t.test(`the end of an owner at "${address.slice(0, 20)}" is not known`, async t => {
    const {peers, stop} = await startPeers('none');
    t.teardown(stop);
    t.equal(await peers.askOwnershipEnd({name: 'odd', address, nonce: 'o-1'}), undefined);
  });

  void t.test(
    `an owner at "${address.slice(0, 20)}" is not reached, and the next one is`,
    async t => {
      const {peers, other, sockets, stop} = await startPeers('none');
      t.teardown(stop);
      peers.setOwner(address);
      peers.setOwner(other);
      await waitUntil(() => sockets.length === 1);
    },
  );
}
