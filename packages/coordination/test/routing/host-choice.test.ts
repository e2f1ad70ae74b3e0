import t from 'tap';
import {HostView, type Host} from '../../src/membership/host-view.js';
import {HostChoice} from '../../src/routing/host-choice.js';
import {TwoChoicePick} from '../../src/routing/host-pick.js';
import {SeededRandom} from '../../src/routing/seeded-random.js';
import {announce, hello} from '../requests/support.js';

interface Case {
  /** Failure that the case guards against. */
  readonly guards: string;
  readonly prepare: (hosts: Record<'a' | 'b' | 'c', Host>, view: HostView) => void;
  readonly at: number;
  readonly idempotent: boolean;
  /** Expected set of chosen hosts. */
  readonly chosen: readonly string[];
}

const recordFailures = (host: Host, view: HostView, times: number) => {
  for (let i = 0; i < times; i += 1) view.recordFailure(host, 0);
};

const cases: Case[] = [
  {
    guards: 'a host that fails fast looks idle and attracts requests',
    prepare: ({a}, view) => recordFailures(a, view, 3),
    at: 10,
    idempotent: true,
    chosen: ['b', 'c'],
  },
  {
    guards: 'an ejected host is never probed again',
    prepare: ({a, b, c}, view) => {
      recordFailures(a, view, 3);
      b.outstanding = b.creditLimit;
      c.outstanding = c.creditLimit;
    },
    at: 300,
    idempotent: true,
    chosen: ['a'],
  },
  {
    guards: 'a non-idempotent request is used to probe a failing host',
    prepare: ({a, b, c}, view) => {
      recordFailures(a, view, 3);
      b.outstanding = b.creditLimit;
      c.outstanding = c.creditLimit;
    },
    at: 300,
    idempotent: false,
    chosen: [],
  },
  {
    guards: 'all hosts are ejected when all of them fail',
    prepare: (hosts, view) => Object.values(hosts).forEach(host => recordFailures(host, view, 3)),
    at: 10,
    idempotent: false,
    chosen: ['a', 'b', 'c'],
  },
  {
    guards: 'a slow host gets as many requests as the fast ones',
    prepare: ({a, c}) => {
      a.slowness = 4;
      c.outstanding = c.creditLimit;
    },
    at: 10,
    idempotent: true,
    chosen: ['b'],
  },
  {
    guards: 'requests spill over to another data centre while local hosts have capacity',
    prepare: ({c}) => {
      c.hello = {...c.hello, dataCentre: 'dc2'};
    },
    at: 10,
    idempotent: true,
    chosen: ['a', 'b'],
  },
  {
    guards: 'requests never spill over to an idle data centre',
    prepare: ({a, b, c}) => {
      c.hello = {...c.hello, dataCentre: 'dc2'};
      for (const host of [a, b]) host.reportedInFlight = 12;
    },
    at: 10,
    idempotent: true,
    chosen: ['c'],
  },
];

void t.test('requests go to healthy, fast and local hosts first', async t => {
  for (const testCase of cases) {
    const view = new HostView();
    const connect = (peer: string): Host => {
      const host = view.connect(peer, hello('agent', peer), 0);
      host.announce = announce(peer);
      return host;
    };
    testCase.prepare({a: connect('a'), b: connect('b'), c: connect('c')}, view);
    const choice = new HostChoice(view, new SeededRandom(5), 'dc1', new TwoChoicePick());
    const chosen = new Set<string>();
    for (let i = 0; i < 50; i += 1) {
      const host = choice.choose('lookup', testCase.at, testCase.idempotent);
      if (host) chosen.add(host.peer);
    }
    t.same([...chosen].sort(), testCase.chosen, testCase.guards);
  }
});
