import t from 'tap';
import {LearnedLimit} from '../../src/admission/learned-limit.js';
import {RetryBudget} from '../../src/admission/retry-budget.js';
import {EntryConnections} from '../../src/membership/entry-connections.js';
import {ForwardWindow} from '../../src/membership/forward-window.js';
import {PeerView} from '../../src/membership/peer-view.js';
import {hello} from '../requests/support.js';

const limitCases = [
  {guards: 'the limit stays low although the latency is constant', latency: () => 10, atLeast: 40},
  {
    guards:
      'the limit grows without bound because queueing that it causes raises the baseline latency',
    latency: (limit: number) => 10 * Math.max(1, limit / 4),
    atMost: 24,
  },
  {
    guards: 'a change in the mix of short and long requests is mistaken for load',
    latency: () => 10,
    other: () => 500,
    atLeast: 40,
  },
];

void t.test(
  'the concurrency limit adapts to the latency, so that it neither stays too low nor grows without bound',
  async t => {
    for (const testCase of limitCases) {
      const limit = new LearnedLimit();
      for (let i = 0; i < 2000; i += 1) {
        const inFlight = limit.getLimit();
        limit.addSample('lookup', testCase.latency(inFlight), inFlight);
        if (testCase.other) limit.addSample('proof', testCase.other(), inFlight);
      }
      t.ok(limit.getLimit() >= (testCase.atLeast ?? 0), testCase.guards);
      t.ok(limit.getLimit() <= (testCase.atMost ?? Infinity), testCase.guards);
    }
  },
);

void t.test(
  'the retry budget allows one retry for ten first attempts, so that retries do not multiply an overload',
  async t => {
    const budget = new RetryBudget({burst: 5});
    let retries = 0;
    for (let i = 0; i < 1000; i += 1) {
      budget.earn();
      if (budget.spend()) retries += 1;
    }
    t.ok(retries <= 106, `a retry storm gets ${retries} retries for 1000 attempts`);
  },
);

void t.test('a forward window shrinks while the other entry has a standing queue', async t => {
  const window = new ForwardWindow();
  for (let at = 0; at < 10_000; at += 10) window.adapt(0, 60, at);
  window.outstanding = 2;
  t.notOk(window.canSend(), 'requests are forwarded although they will be shed');
  for (let i = 0; i < 2000; i += 1) window.adapt(1, 60, 20_000);
  t.ok(window.canSend(), 'the window does not grow again after the queue drained');
});

void t.test(
  'a single busy entry may use the whole host, so that no slots are reserved for idle entries',
  async t => {
    const entries = new EntryConnections();
    for (const name of ['one', 'two', 'three', 'four']) entries.add(name);
    entries.recordUse('one', 0);
    t.equal(entries.getCredit('one', 8, 8, 10), 8, 'slots are reserved for idle entries');
    entries.recordUse('two', 10);
    t.equal(
      entries.getCredit('one', 8, 8, 20),
      4,
      'a busy entry takes the share of another active entry',
    );
  },
);

void t.test('a flood of one class does not fill the forward windows of other classes', async t => {
  const peers = new PeerView();
  const peer = peers.connect('far', hello('entry', 'far'));
  const flooded = peers.getWindow(peer, 'proof');
  flooded.outstanding = 5000;
  t.notOk(flooded.canSend(), 'the window of the flooded class is unbounded');
  t.ok(
    peers.getWindow(peer, 'lookup').canSend(),
    'requests of another class wait behind the flood',
  );
});
