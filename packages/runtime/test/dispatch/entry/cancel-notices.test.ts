import type {AddressInfo, Socket} from 'node:net';
import {unknownEvacuations} from '@chervilbeam/coordination';
import t, {type Test} from 'tap';
import {
  dialLink,
  EntryPeers,
  type EntryRequest,
  type EntryResponse,
  type Link,
} from '../../../src/dispatch/index.js';
import {Link as AcceptedLink, listenForLinks} from '../../../src/dispatch/links/link.js';
import {TrafficMeter} from '../../../src/dispatch/links/traffic-meter.js';
import {Metrics} from '../../../src/metrics/index.js';
import {ManualClock} from '../manual-clock.js';
import {MemoryStore} from '../records/memory-store.js';
import {createTestLog} from '../test-log.js';
import {waitUntil} from '../wait-until.js';
import {startEntry} from './entry-fixture.js';

const id = '00000000000000e1';
/** Time in milliseconds after which the owner has read a cancel from the store, or has been replaced. */
const afterNoticeMs = 7_000;

/** Starts an owner that records the messages on each of its links, and confirms notices or not. */
async function startOwner(t: Test, confirms: boolean) {
  const links: Array<{readonly socket: Socket; readonly messages: EntryRequest[]}> = [];
  const server = await listenForLinks('127.0.0.1:0', socket => {
    const messages: EntryRequest[] = [];
    links.push({socket, messages});
    const link: Link<EntryRequest, EntryResponse> = new AcceptedLink(socket, {
      message: (message: EntryRequest) => {
        messages.push(message);
        if (message.kind === 'query') {
          link.send({kind: 'status', request: message.request, isOwner: true});
        } else if (message.kind === 'cancelled' && confirms) {
          link.send({kind: 'cancel-received', id: message.id});
        }
      },
      closed: () => {},
    });
  });
  t.teardown(() => {
    server.close();
    for (const {socket} of links) socket.destroy();
  });
  return {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, links};
}

type Owner = Awaited<ReturnType<typeof startOwner>>;

function startPeers(t: Test) {
  const clock = new ManualClock();
  const {log} = createTestLog();
  const peers = new EntryPeers({
    name: 'this',
    address: '127.0.0.1:1',
    store: new MemoryStore(),
    clock,
    log,
    traffic: new TrafficMeter(new Metrics(), log),
    getEvacuations: () => unknownEvacuations,
    onQueueBacklogs: () => {},
  });
  peers.start();
  t.teardown(() => peers.stop());
  return {peers, clock};
}

interface Fixture extends ReturnType<typeof startPeers> {
  readonly owner: Owner;
  readonly nextOwner: Owner;
}

/** Makes an entry with a known owner notify it; resolves when the owner has handled that. */
async function notifyOwner({peers, owner}: Fixture): Promise<void> {
  peers.setOwner(owner.address);
  peers.notifyCancelled(id);
  await peers.askOwner(id);
}

/** Closes the newest link of an owner; resolves when a further one is open and has been used. */
async function replaceLink({peers, owner}: Fixture): Promise<void> {
  const count = owner.links.length;
  owner.links.at(-1)?.socket.destroy();
  await waitUntil(() => owner.links.length > count);
  await peers.askOwner(id);
}

function getNotices({links}: Owner): number[] {
  return links.map(({messages}) => messages.filter(({kind}) => kind === 'cancelled').length);
}

const cases: ReadonlyArray<{
  readonly name: string;
  readonly confirms: boolean;
  readonly act: (fixture: Fixture) => Promise<void>;
  /** Number of notices on each link to the owner, and to the next owner. */
  readonly expected: readonly [readonly number[], readonly number[]];
}> = [
  {
    // The owner did not hear of a cancel whose notice was lost with the link.
    name: 'a notice that is not confirmed is sent again on the next link',
    confirms: false,
    act: async fixture => {
      await notifyOwner(fixture);
      await replaceLink(fixture);
    },
    expected: [[1, 1], []],
  },
  {
    name: 'a confirmed notice is not repeated',
    confirms: true,
    act: async fixture => {
      await notifyOwner(fixture);
      await replaceLink(fixture);
    },
    expected: [[1, 0], []],
  },
  {
    name: 'a notice without an owner is sent to the next one',
    confirms: true,
    act: async ({peers, owner}) => {
      peers.notifyCancelled(id);
      peers.setOwner(owner.address);
      await peers.askOwner(id);
    },
    expected: [[1], []],
  },
  {
    name: 'a notice that a former owner has not confirmed is sent to the next one',
    confirms: false,
    act: async fixture => {
      const {peers, nextOwner} = fixture;
      await notifyOwner(fixture);
      peers.setOwner(nextOwner.address);
      await peers.askOwner(id);
    },
    expected: [[1], [1]],
  },
  {
    name: 'a notice is not repeated any more when the owner has read the cancel from the store',
    confirms: false,
    act: async fixture => {
      await notifyOwner(fixture);
      fixture.clock.timeMs += afterNoticeMs;
      await replaceLink(fixture);
    },
    expected: [[1, 0], []],
  },
];

for (const {name, confirms, act, expected} of cases) {
  void t.test(name, async t => {
    const owner = await startOwner(t, confirms);
    const nextOwner = await startOwner(t, confirms);
    await act({...startPeers(t), owner, nextOwner});
    t.same([getNotices(owner), getNotices(nextOwner)], expected);
  });
}

/** Sends a notice and a query to an entry and returns the kinds of its answers up to that to the query. */
async function sendNotice(t: Test, address: string): Promise<string[]> {
  const kinds: string[] = [];
  const link: Link<EntryResponse, EntryRequest> = dialLink(address, {
    message: ({kind}) => void kinds.push(kind),
    closed: () => {},
  });
  t.teardown(() => link.destroy('test'));
  link.send({kind: 'cancelled', id});
  link.send({kind: 'query', request: 1, id});
  await waitUntil(() => kinds.includes('status'));
  return kinds;
}

void t.test('only the owner confirms a notice', async t => {
  const store = new MemoryStore();
  const owner = await startEntry(t, 'entry-1', store);
  await waitUntil(() => owner.node.isOwner);
  const other = await startEntry(t, 'entry-2', store);
  t.same(await sendNotice(t, owner.address), ['cancel-received', 'status']);
  t.same(await sendNotice(t, other.address), ['status']);
});
