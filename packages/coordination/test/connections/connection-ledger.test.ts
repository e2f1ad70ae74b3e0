import t from 'tap';
import {
  type ConnectionAccount,
  connectionBytes,
  ConnectionLedger,
  type ConnectionPeer,
  type ConnectionPhase,
} from '../../src/connections/index.js';

interface Connection {
  readonly name: string;
  readonly peer?: ConnectionPeer;
  readonly phase?: ConnectionPhase;
  readonly bytes: number;
  readonly since: number;
}

/** Time in milliseconds at which the budget is exceeded. */
const now = 1_000;

const cases: ReadonlyArray<{
  readonly name: string;
  readonly connections: readonly Connection[];
  readonly shed: readonly string[];
}> = [
  {
    name: 'the connection that holds most is shed first',
    connections: [
      {name: 'small', bytes: 10_000, since: 0},
      {name: 'large', bytes: 90_000, since: 0},
    ],
    shed: ['large'],
  },
  {
    name: 'of two that hold as much, the one that has held it for longer is shed',
    connections: [
      {name: 'new', bytes: 50_000, since: 900},
      {name: 'old', bytes: 50_000, since: 100},
    ],
    shed: ['old'],
  },
  {
    // Its client would not know whether the request was executed.
    name: 'a request that waits for its answer is not shed, however much it holds',
    connections: [
      {name: 'answering', phase: 'answering', bytes: 90_000, since: 0},
      {name: 'receiving', bytes: 10, since: 900},
    ],
    shed: ['receiving'],
  },
  {
    name: 'a client that takes no answers is shed before one that sends',
    connections: [
      {name: 'sending', phase: 'sending', bytes: 50_000, since: 0},
      {name: 'receiving', bytes: 40_000, since: 500},
    ],
    shed: ['sending'],
  },
  {
    // Its client has behaved, and may just be sending the next request.
    name: 'a connection that has been idle for long is shed after a recent one that has sent half a request',
    connections: [
      {name: 'idle', phase: 'idle', bytes: 10, since: 0},
      {name: 'receiving', bytes: 10, since: 900},
    ],
    shed: ['receiving'],
  },
  {
    // Without its agents an owner could not go on.
    name: 'clients are shed before unknown peers, and agents last',
    connections: [
      {name: 'agent', peer: 'agent', bytes: 90_000, since: 0},
      {name: 'peer', peer: 'peer', bytes: 60_000, since: 0},
      {name: 'client', bytes: 10, since: 999},
    ],
    shed: ['client', 'peer'],
  },
];

for (const {name, connections, shed} of cases) {
  void t.test(name, async t => {
    const held = connections.reduce((sum, {bytes}) => sum + bytes + connectionBytes, 0);
    const ledger = new ConnectionLedger({maxBytes: held - 1, maxConnections: 10});
    const names = new Map<ConnectionAccount, string>();
    const shedNames: Array<string | undefined> = [];
    for (const {name, peer = 'client', phase = 'receiving', since} of connections) {
      const {account} = ledger.open(peer, since);
      ledger.setPhase(account, phase, since);
      names.set(account, name);
    }
    const accounts = [...names.keys()];
    connections.forEach(({bytes}, index) => {
      const account = accounts[index];
      if (account === undefined) return;
      for (const each of ledger.hold(account, bytes, now)) shedNames.push(names.get(each.account));
    });
    t.same(shedNames, shed);
  });
}

// A process that runs out of descriptors could not reach the store.
void t.test('a connection beyond the number replaces the oldest one that may be shed', async t => {
  const ledger = new ConnectionLedger({maxBytes: 1e9, maxConnections: 2});
  const {account: first} = ledger.open('client', 0);
  const {account: second} = ledger.open('client', 1);
  ledger.setPhase(first, 'answering', 0);
  t.same(ledger.open('client', 2).shed, [{account: second, reason: 'connections'}]);
  t.equal(ledger.size, 2);
});

void t.test('a new connection is refused while all others wait for answers', async t => {
  const ledger = new ConnectionLedger({maxBytes: 1e9, maxConnections: 1});
  ledger.setPhase(ledger.open('client', 0).account, 'answering', 0);
  const {account, shed} = ledger.open('client', 1);
  t.same(shed, [{account, reason: 'connections'}]);
  t.equal(ledger.size, 1);
});

// Otherwise the budget would shrink with each connection.
void t.test('a closed connection gives back all that it held', async t => {
  const ledger = new ConnectionLedger({maxBytes: 1e9, maxConnections: 10});
  const {account} = ledger.open('client', 0);
  ledger.hold(account, 5_000, 0);
  ledger.close(account);
  ledger.hold(account, -5_000, 0);
  ledger.close(account);
  t.equal(ledger.heldBytes, 0);
});

// New requests are refused instead, before they are executed.
void t.test('the budget is exhausted while what holds it may not be shed', async t => {
  const ledger = new ConnectionLedger({maxBytes: 100_000, maxConnections: 10});
  const {account} = ledger.open('client', 0);
  ledger.setPhase(account, 'answering', 0);
  t.same(ledger.hold(account, 200_000, 1), []);
  t.ok(ledger.isExhausted);
  ledger.hold(account, -200_000, 2);
  t.notOk(ledger.isExhausted);
});
