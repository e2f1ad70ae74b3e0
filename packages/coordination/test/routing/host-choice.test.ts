import t from 'tap';
import {HostView, type Host} from '../../src/membership/host-view.js';
import {HostChoice} from '../../src/routing/host-choice.js';
import {TwoChoicePick} from '../../src/routing/host-pick.js';
import {SeededRandom} from '../../src/routing/seeded-random.js';
import {announce, hello} from '../requests/support.js';

interface Case {
  readonly guards: string;
  readonly prepare: (hosts: Record<'a' | 'b' | 'c', Host>, view: HostView) => void;
  readonly at: number;
  readonly idempotent: boolean;
  /** Hosts that may be chosen. */
  readonly chosen: readonly string[];
}

const fail = (host: Host, view: HostView, times: number) => {
  for (let i = 0; i < times; i += 1) view.recordFailure(host, 0);
};

const cases: Case[] = [
  {
    guards: 'a host that fails fast attracts work',
    prepare: ({a}, view) => fail(a, view, 3),
    at: 10,
    idempotent: true,
    chosen: ['b', 'c'],
  },
  {
    guards: 'a host that failed is never tried again',
    prepare: ({a, b, c}, view) => {
      fail(a, view, 3);
      b.outstanding = b.creditLimit;
      c.outstanding = c.creditLimit;
    },
    at: 300,
    idempotent: true,
    chosen: ['a'],
  },
  {
    guards: 'a request that may run only once is the probe of a failing host',
    prepare: ({a, b, c}, view) => {
      fail(a, view, 3);
      b.outstanding = b.creditLimit;
      c.outstanding = c.creditLimit;
    },
    at: 300,
    idempotent: false,
    chosen: [],
  },
  {
    guards: 'all hosts are left out when all of them fail',
    prepare: (hosts, view) => Object.values(hosts).forEach(host => fail(host, view, 3)),
    at: 10,
    idempotent: false,
    chosen: ['a', 'b', 'c'],
  },
  {
    guards: 'a slow host gets the same work as the fast ones',
    prepare: ({a, c}) => {
      a.slowness = 4;
      c.outstanding = c.creditLimit;
    },
    at: 10,
    idempotent: true,
    chosen: ['b'],
  },
  {
    guards: 'work goes to the other data centre while the own one has room',
    prepare: ({c}) => {
      c.hello = {...c.hello, dataCentre: 'dc2'};
    },
    at: 10,
    idempotent: true,
    chosen: ['a', 'b'],
  },
  {
    guards: 'work never spills to an idle data centre',
    prepare: ({a, b, c}) => {
      c.hello = {...c.hello, dataCentre: 'dc2'};
      for (const host of [a, b]) host.reportedInFlight = 12;
    },
    at: 10,
    idempotent: true,
    chosen: ['c'],
  },
];

void t.test('only the hosts that should get work are chosen', async t => {
  for (const c of cases) {
    const view = new HostView();
    const connect = (peer: string): Host => {
      const host = view.connect(peer, hello('agent', peer), 0);
      host.announce = announce(peer);
      return host;
    };
    c.prepare({a: connect('a'), b: connect('b'), c: connect('c')}, view);
    const choice = new HostChoice(view, new SeededRandom(5), 'dc1', new TwoChoicePick());
    const chosen = new Set<string>();
    for (let i = 0; i < 50; i += 1) {
      const host = choice.choose('lookup', c.at, c.idempotent);
      if (host) chosen.add(host.peer);
    }
    t.same([...chosen].sort(), c.chosen, c.guards);
  }
});
