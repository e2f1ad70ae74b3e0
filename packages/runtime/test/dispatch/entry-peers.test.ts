import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import type {Clock} from '@chervilbeam/coordination';
import t from 'tap';
import {EntryPeers} from '../../src/dispatch/index.js';
import {listenForLinks} from '../../src/dispatch/link.js';
import {TrafficMeter} from '../../src/dispatch/traffic-meter.js';
import {Metrics} from '../../src/metrics/index.js';
import {MemoryStore} from './memory-store.js';
import {createTestLog} from './test-log.js';
import {waitUntil} from './wait-until.js';

/** Time in milliseconds after which a caller repeats no attempt any more. */
const afterRepeatsMs = 5_000;

class ManualClock implements Clock {
  timeMs = 0;

  now(): number {
    return this.timeMs;
  }

  wallTime(): number {
    return this.timeMs;
  }
}

/** Starts the peers of an entry beside one other entry, which accepts links. */
async function startPeers() {
  const sockets: Socket[] = [];
  const server = await listenForLinks('127.0.0.1:0', socket => {
    socket.on('error', () => {});
    sockets.push(socket.resume());
  });
  const other = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const store = new MemoryStore();
  store.put('entry/other', JSON.stringify({address: other, processors: 1}));
  const clock = new ManualClock();
  const {log} = createTestLog();
  const peers = new EntryPeers({
    name: 'this',
    address: '127.0.0.1:1',
    store,
    clock,
    log,
    traffic: new TrafficMeter(new Metrics(), log),
    onQueueBacklogs: () => {},
  });
  peers.start();
  await waitUntil(() => peers.addresses.length === 1);
  const stop = () => {
    peers.stop();
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  return {peers, clock, other, server, sockets, stop};
}

type Fixture = Awaited<ReturnType<typeof startPeers>>;

const cases: ReadonlyArray<{
  readonly name: string;
  readonly act: (fixture: Fixture) => Promise<void>;
  readonly isLoss: boolean;
}> = [
  {
    name: 'the start of an entry is the loss of its predecessor for a limited time only',
    act: async () => {},
    isLoss: false,
  },
  {
    name: 'an entry whose link breaks counts as lost',
    act: async ({peers, other, sockets}) => {
      peers.setOwner(other);
      await waitUntil(() => sockets.length === 1);
      sockets[0]?.destroy();
      await waitUntil(() => peers.hasRecentLoss);
    },
    isLoss: true,
  },
  {
    name: 'an entry that cannot be reached counts as lost',
    act: async ({peers, server}) => {
      server.close();
      await once(server, 'close');
      await peers.relay({kind: 'query', queue: 'queue', id: '00000000000000a1'}, 2_000);
    },
    isLoss: true,
  },
  {
    name: 'an entry that stays away is lost once only',
    act: async ({peers, server, clock}) => {
      server.close();
      await once(server, 'close');
      const call = {kind: 'query', queue: 'queue', id: '00000000000000a1'} as const;
      await peers.relay(call, 2_000);
      clock.timeMs += afterRepeatsMs;
      await peers.relay(call, 2_000);
    },
    isLoss: false,
  },
  {
    name: 'a link that is ended because the owner has changed is no loss',
    act: async ({peers, other, sockets}) => {
      peers.setOwner(other);
      await waitUntil(() => sockets.length === 1);
      const closed = once(sockets[0] as Socket, 'close');
      peers.setOwner(undefined);
      await closed;
    },
    isLoss: false,
  },
];

for (const {name, act, isLoss} of cases) {
  void t.test(name, async t => {
    const fixture = await startPeers();
    t.teardown(fixture.stop);
    const {peers, clock} = fixture;
    t.ok(peers.hasRecentLoss, 'this entry has just started');
    clock.timeMs += afterRepeatsMs;
    t.notOk(peers.hasRecentLoss);
    await act(fixture);
    t.equal(peers.hasRecentLoss, isLoss);
  });
}
