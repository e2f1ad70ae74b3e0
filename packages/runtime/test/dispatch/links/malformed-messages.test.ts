import {Dispatcher, type AgentMessage} from '@chervilbeam/coordination';
import {once} from 'node:events';
import {connect, type Server, type Socket} from 'node:net';
import {Encoder} from 'cbor-x';
import fc from 'fast-check';
import t from 'tap';
import {checkLinkMessage} from '../../../src/dispatch/links/link-message-checks.js';
import {dialLink, Link, listenForLinks} from '../../../src/dispatch/links/link.js';
import {FrameError} from '../../../src/framing/index.js';
import {mutate} from '../mutations.js';
import {oddAddresses} from '../odd-addresses.js';

const life = 'w@1';
const task = '00000000000000a1.0.0.0';
const worker = {
  life,
  id: 'w',
  service: 'press',
  dataCentre: 'north',
  rack: 'r1',
  labels: ['a', 'r1'],
  capacity: {processors: 4, memoryMb: 100, accelerators: 0, slots: 0},
  state: 'ready',
};
/** One valid message of each kind that an agent sends. */
const agentMessages: ReadonlyArray<Readonly<Record<string, unknown>>> = [
  {kind: 'agent', agent: 'a', dataCentre: 'north', incarnation: 1},
  {kind: 'worker', worker},
  {kind: 'worker', worker, former: {life: 'w@0', silentMs: 700}},
  {
    kind: 'report',
    life,
    term: 2,
    clockMs: 5,
    running: [[task, 1, '', 10, 5]],
    ends: [[1, task, 1, 'done', '']],
  },
  {kind: 'result', order: 1, term: 2, outcome: {kind: 'refused', reason: 'room'}},
  {kind: 'worker-gone', life, reason: 'farewell'},
];
const otherMessages: ReadonlyArray<Readonly<Record<string, unknown>>> = [
  {kind: 'owner', term: 2, entries: ['10.0.0.1:1']},
  {kind: 'owner', term: 2, entries: [], evacuations: {revision: 3, dataCentres: ['north']}},
  {kind: 'evacuations', revision: 3, dataCentres: ['north']},
  {kind: 'lease', life, term: 2, deadlineMs: 9, acknowledged: 0},
  {kind: 'start', order: 1, life, term: 2, task, run: 1, spec: 'x', deadlineMs: 9},
  {kind: 'query', request: 1, id: 'a'},
  {kind: 'attempt', request: 1, id: 'a'},
  {kind: 'ownership-end', request: 1, nonce: 'a-1'},
  {kind: 'ownership-ended', request: 1, agoMs: 5},
  {kind: 'attempt-state', request: 1, state: 'none'},
  {kind: 'cancelled', id: 'a'},
  {kind: 'cancel-received', id: 'a'},
  {kind: 'handover-query', request: 1},
  {kind: 'handover-offer', request: 1, term: 4, learned: {}},
  {kind: 'handover-candidate', request: 1, isAvailable: true, processors: 1, roundTripMs: 4},
  {kind: 'handover-result', request: 1, isTaken: false, reason: 'busy'},
  {kind: 'call', request: 1, call: {kind: 'cancel', queue: 'q', id: 'a'}},
  {
    kind: 'queue-backlogs',
    groups: [['press/1', 1, 1, 16], ['press/2']],
    queues: [['q', 1, 1000]],
  },
];

for (const message of [...agentMessages, ...otherMessages]) {
  void t.test(
    `a message "${String(message.kind)}" is accepted as it is, whatever else is not`,
    async t => {
      t.ok(checkLinkMessage(message));
      fc.assert(
        fc.property(mutate(message), mutant => {
          isAccepted(mutant);
        }),
        {seed: 13, numRuns: 300},
      );
    },
  );
}

function isAccepted(message: unknown): boolean {
  if (typeof message !== 'object' || message === null) return false;
  try {
    return checkLinkMessage(message as Record<string, unknown>);
  } catch (error) {
    if (error instanceof FrameError) return false;
    throw error;
  }
}

void t.test('the dispatcher handles every message that the check accepts', async t => {
  const mutants = fc.oneof(...agentMessages.map(message => mutate(message)));
  fc.assert(
    fc.property(fc.array(mutants, {maxLength: 8}), messages => {
      const dispatcher = new Dispatcher();
      const begin = {term: 2, generation: 1, submissions: [], roster: [], wallMs: 1};
      dispatcher.reduce({kind: 'begin', ...begin}, 1);
      for (const message of [agentMessages[1], ...messages]) {
        if (!isAccepted(message)) continue;
        dispatcher.reduce({kind: 'message', agent: 'a', message: message as AgentMessage}, 10);
      }
      dispatcher.reduce({kind: 'tick', wallMs: 200}, 200);
    }),
    {seed: 14, numRuns: 500},
  );
  t.pass('no error');
});

const encoder = new Encoder({useRecords: false});

function frame(payload: Buffer): Buffer {
  const prefix = Buffer.alloc(4);
  prefix.writeUInt32BE(payload.length, 0);
  return Buffer.concat([prefix, payload]);
}

const frames: ReadonlyArray<{readonly name: string; readonly bytes: Buffer}> = [
  {name: 'bytes that are not CBOR', bytes: frame(Buffer.from([0xff, 0x00, 0x1c]))},
  // 0x81 begins a list of one element.
  {name: 'a deeply nested list', bytes: frame(Buffer.alloc(500_000, 0x81))},
  {name: 'a message that is not a record', bytes: frame(encoder.encode('text') as Buffer)},
  {name: 'a field of the wrong type', bytes: frame(encoder.encode({kind: 'agent'}) as Buffer)},
  {name: 'a frame above the limit', bytes: Buffer.from([0x7f, 0xff, 0xff, 0xff, 0])},
  {
    name: 'a message whose handler fails',
    bytes: frame(encoder.encode({kind: 'entry', name: 'fail'}) as Buffer),
  },
];

async function listen(accept: (socket: Socket) => void): Promise<{server: Server; port: number}> {
  const server = await listenForLinks('127.0.0.1:0', accept);
  return {server, port: (server.address() as {port: number}).port};
}

for (const {name, bytes} of frames) {
  void t.test(`${name} closes its own connection only`, async t => {
    const received: unknown[] = [];
    const {server, port} = await listen(socket => {
      new Link<{name?: string}, never>(socket, {
        message: message => {
          if (message.name === 'fail') throw new TypeError('unexpected');
          received.push(message);
        },
        closed: () => {},
      });
    });
    const bad = connect(port, '127.0.0.1');
    const good = connect(port, '127.0.0.1');
    t.teardown(() => {
      good.destroy();
      server.close();
    });
    await Promise.all([once(bad, 'connect'), once(good, 'connect')]);
    bad.on('error', () => {});
    bad.write(bytes);
    await once(bad, 'close');
    good.write(frame(encoder.encode({kind: 'entry', name: 'b'}) as Buffer));
    while (received.length === 0) await new Promise(resolve => setTimeout(resolve, 5));
    t.match(received, [{kind: 'entry', name: 'b'}]);
  });
}

const badEvacuations: readonly unknown[] = [
  {dataCentres: ['north']},
  {revision: '3', dataCentres: ['north']},
  {revision: -1, dataCentres: []},
  {revision: 1e300, dataCentres: []},
  {revision: Number.NaN, dataCentres: []},
  {revision: 3},
  {revision: 3, dataCentres: 'north'},
  {revision: 3, dataCentres: [7]},
];

for (const set of badEvacuations) {
  void t.test(`evacuations that cannot be read are refused: ${JSON.stringify(set)}`, async t => {
    const owner = {kind: 'owner', term: 2, entries: [], evacuations: set};
    t.throws(() => checkLinkMessage({kind: 'evacuations', ...(set as object)}), FrameError);
    t.throws(() => checkLinkMessage(owner), FrameError);
  });
}

void t.test('a message of an unknown kind is ignored, as during an upgrade', async t => {
  t.notOk(checkLinkMessage({kind: 'invented', field: 1}));
  t.notOk(checkLinkMessage({kind: 'toString'}));
});

for (const address of oddAddresses) {
  void t.test(`a link to "${address.slice(0, 20)}" is closed and never open`, async t => {
    const reason = await new Promise<string>(closed => {
      const link = dialLink(address, {message: () => {}, closed});
      link.send({kind: 'query', request: 1, id: 'a'});
      t.notOk(link.hasBeenOpen);
    });
    t.equal(reason, 'invalid-address');
  });
}
