import t from 'tap';
import {
  type ElectionEffect,
  type ElectionEvent,
  OwnerElection,
} from '../../src/ownership/owner-election.js';

type TimedEvent = readonly [at: number, event: ElectionEvent];

const owner = {name: 'other', address: '10.0.0.2:1', nonce: 'other-1'};
const ownAddress = '10.0.0.1:1';
const vacant = {kind: 'owner-seen', owner: undefined, revision: 5} as const;

/** Opens a lease at 0 and claims the vacant key at 10. */
const claimed: readonly TimedEvent[] = [
  [0, {kind: 'tick'}],
  [5, {kind: 'lease-opened', lease: '7', sentAt: 0}],
  [10, vacant],
  [20, {kind: 'claimed', revision: 9, generation: 1}],
];

const cases: ReadonlyArray<{
  readonly name: string;
  readonly events: readonly TimedEvent[];
  readonly last: ReadonlyArray<ElectionEffect['kind']>;
}> = [
  {name: 'a process first opens a lease', events: [[0, {kind: 'tick'}]], last: ['open-lease']},
  {
    name: 'nothing is claimed before the owner key has been read',
    events: [
      [0, {kind: 'tick'}],
      [5, {kind: 'lease-opened', lease: '7', sentAt: 0}],
    ],
    last: [],
  },
  {name: 'a vacant key is claimed', events: claimed.slice(0, 3), last: ['claim']},
  {name: 'a successful claim begins the ownership', events: claimed, last: ['begin']},
  {
    name: 'a claim whose reply is handled after the lease has expired does not begin the ownership',
    events: [...claimed.slice(0, 3), [6_100, {kind: 'claimed', revision: 9, generation: 1}]],
    last: ['end-lease'],
  },
  {
    name: 'a key owned by another process is not claimed',
    events: [...claimed.slice(0, 2), [10, {kind: 'owner-seen', owner, revision: 4}]],
    last: [],
  },
  {
    name: 'the key of a previous incarnation on the same address is claimed without waiting for its lease',
    events: [
      ...claimed.slice(0, 2),
      [10, {kind: 'owner-seen', owner: {...owner, address: ownAddress}, revision: 4}],
    ],
    last: ['claim'],
  },
  {
    name: 'a process does not mistake its own key for a previous incarnation after losing the ownership',
    events: [
      ...claimed,
      [30, {kind: 'deposed', reason: 'write-conflict'}],
      [40, {kind: 'lease-opened', lease: '8', sentAt: 35}],
      [
        50,
        {kind: 'owner-seen', owner: {...owner, address: ownAddress, nonce: 'self-1'}, revision: 9},
      ],
    ],
    last: [],
  },
  {
    name: 'a claim that took effect after it was given up is claimed again, because its key is bound to the lease',
    events: [
      ...claimed.slice(0, 3),
      [20, {kind: 'call-failed', call: 'claim'}],
      [
        30,
        {kind: 'owner-seen', owner: {...owner, address: ownAddress, nonce: 'self-1'}, revision: 9},
      ],
      [400, {kind: 'tick'}],
    ],
    last: ['claim'],
  },
  {
    name: 'a claim whose key is seen before its reply is not repeated',
    events: [
      ...claimed.slice(0, 3),
      [
        15,
        {kind: 'owner-seen', owner: {...owner, address: ownAddress, nonce: 'self-1'}, revision: 9},
      ],
      [20, {kind: 'claimed', revision: 9, generation: 1}],
      [400, {kind: 'tick'}],
    ],
    last: [],
  },
  {
    name: 'a stale observation of the vacant key does not end a newer ownership',
    events: [...claimed, [30, {kind: 'owner-seen', owner: undefined, revision: 8}]],
    last: [],
  },
  {
    name: 'a key claimed by another process ends the ownership',
    events: [...claimed, [30, {kind: 'owner-seen', owner, revision: 12}]],
    last: ['end', 'end-lease', 'open-lease'],
  },
  {
    name: 'a removed key ends the ownership',
    events: [...claimed, [30, {kind: 'owner-seen', owner: undefined, revision: 12}]],
    last: ['end', 'end-lease', 'open-lease'],
  },
  {
    name: 'an owner keeps the ownership during a short store outage',
    events: [
      ...claimed,
      [1_100, {kind: 'tick'}],
      [2_000, {kind: 'call-failed', call: 'keep-lease'}],
      [5_900, {kind: 'look'}],
    ],
    last: [],
  },
  {
    name: 'an owner that was suspended past the ownership timeout steps down on the first check',
    events: [...claimed, [6_100, {kind: 'look'}]],
    last: ['end', 'end-lease'],
  },
  {
    name: 'a lease that expired in the store ends the ownership, and a new one is opened',
    events: [...claimed, [1_100, {kind: 'tick'}], [1_110, {kind: 'lease-ended'}]],
    last: ['end', 'open-lease'],
  },
  {
    name: 'an owner fenced by a worker that has seen a higher token steps down',
    events: [...claimed, [30, {kind: 'deposed', reason: 'fenced-by-worker'}]],
    last: ['end', 'end-lease'],
  },
  {
    name: 'a draining owner releases its lease at once and opens no new one',
    events: [...claimed, [30, {kind: 'drain'}]],
    last: ['end', 'end-lease'],
  },
  {
    name: 'a key whose owner offers it is replaced without waiting for its lease',
    events: [
      ...claimed.slice(0, 2),
      [10, {kind: 'owner-seen', owner, revision: 4}],
      [20, {kind: 'take-over', revision: 4}],
    ],
    last: ['claim'],
  },
  {
    name: 'an offer outlasts a further observation of the same key',
    events: [
      ...claimed.slice(0, 2),
      [20, {kind: 'take-over', revision: 4}],
      [30, {kind: 'call-failed', call: 'claim'}],
      [40, {kind: 'owner-seen', owner, revision: 4}],
      [400, {kind: 'tick'}],
    ],
    last: ['claim'],
  },
  {
    name: 'an offer ends when another process has taken the ownership over',
    events: [
      ...claimed.slice(0, 2),
      [20, {kind: 'take-over', revision: 4}],
      [30, {kind: 'call-failed', call: 'claim'}],
      [40, {kind: 'owner-seen', owner, revision: 5}],
      [400, {kind: 'tick'}],
    ],
    last: [],
  },
  {
    name: 'a draining process does not take an offer',
    events: [...claimed.slice(0, 2), [20, {kind: 'drain'}], [30, {kind: 'take-over', revision: 4}]],
    last: [],
  },
  {
    name: 'an owner that retires keeps its lease until it has been replaced',
    events: [...claimed, [30, {kind: 'retire'}], [1_100, {kind: 'tick'}]],
    last: ['keep-lease'],
  },
  {
    name: 'an owner that retires ends when it is replaced, and opens no lease',
    events: [...claimed, [30, {kind: 'retire'}], [40, {kind: 'owner-seen', owner, revision: 12}]],
    last: ['end', 'end-lease'],
  },
  {
    name: 'a process that has retired does not claim a vacant key',
    events: [
      ...claimed,
      [30, {kind: 'retire'}],
      [40, {kind: 'deposed', reason: 'handed-over'}],
      [50, {...vacant, revision: 12}],
      [400, {kind: 'tick'}],
    ],
    last: [],
  },
];

for (const {name, events, last} of cases) {
  void t.test(name, async t => {
    const election = new OwnerElection({incarnation: 'self', address: ownAddress});
    let effects: readonly ElectionEffect[] = [];
    for (const [at, event] of events) effects = election.reduce(event, at);
    t.same(
      effects.map(effect => effect.kind),
      last,
    );
  });
}

void t.test(
  'a claim waits for its delay, so that an entry near the store claims first',
  async t => {
    const election = new OwnerElection({incarnation: 'self', claimDelayMs: 400});
    election.reduce({kind: 'tick'}, 0);
    election.reduce({kind: 'lease-opened', lease: '7', sentAt: 0}, 5);
    t.same(election.reduce(vacant, 10), []);
    t.same(election.reduce({kind: 'tick'}, 300), []);
    t.match(election.reduce({kind: 'tick'}, 411), [{kind: 'claim', nonce: 'self-1'}]);
  },
);

void t.test(
  'the wait of a claim is known, so that it is not made later than necessary',
  async t => {
    const election = new OwnerElection({incarnation: 'self', claimDelayMs: 40});
    t.equal(election.getClaimWaitMs(0), undefined);
    election.reduce({kind: 'tick'}, 0);
    election.reduce({kind: 'lease-opened', lease: '7', sentAt: 0}, 5);
    election.reduce(vacant, 10);
    t.equal(election.getClaimWaitMs(20), 30);
    election.reduce({kind: 'claim-delay', delayMs: 15}, 20);
    t.equal(election.getClaimWaitMs(20), 5);
    election.reduce({kind: 'tick'}, 25);
    t.equal(election.getClaimWaitMs(25), undefined, 'the claim is under way');
    election.reduce({kind: 'call-failed', call: 'claim'}, 30);
    t.equal(election.getClaimWaitMs(30), 250, 'after a failed claim');
  },
);
