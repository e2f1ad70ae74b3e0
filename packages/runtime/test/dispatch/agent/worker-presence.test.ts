import t from 'tap';
import {WorkerPresence} from '../../../src/dispatch/index.js';

const heartbeatIntervalMs = 1_500;

type Event = readonly [
  at: number,
  event: 'heartbeat' | 'farewell' | 'answer' | 'refused' | 'timeout',
];

// What was taken for the end of a worker decided whether its runs were started elsewhere.
const cases: ReadonlyArray<{
  readonly name: string;
  readonly events: readonly Event[];
  readonly at: number;
  readonly expected: 'farewell' | 'refused-connection' | undefined;
}> = [
  {
    name: 'a worker that refuses connections between two heartbeats',
    events: [
      [100, 'refused'],
      [350, 'refused'],
      [600, 'refused'],
      [850, 'refused'],
    ],
    at: 850,
    expected: undefined,
  },
  {
    name: 'a worker that refuses connections for long, but sends heartbeats',
    events: [
      [100, 'refused'],
      [1_500, 'heartbeat'],
      [1_600, 'refused'],
      [2_900, 'refused'],
      [3_000, 'heartbeat'],
      [4_900, 'refused'],
    ],
    at: 4_900,
    expected: undefined,
  },
  {
    name: 'a worker that refuses connections and sends no heartbeats',
    events: [
      [100, 'refused'],
      [350, 'refused'],
      [2_100, 'refused'],
    ],
    at: 2_100,
    expected: 'refused-connection',
  },
  {
    // After a pause of the agent, the latest heartbeat is old although the worker has sent others.
    name: 'a worker whose agent was paused',
    events: [
      [9_000, 'refused'],
      [9_250, 'refused'],
      [9_500, 'refused'],
    ],
    at: 9_500,
    expected: undefined,
  },
  {
    name: 'a worker that does not answer',
    events: [
      [100, 'timeout'],
      [2_000, 'timeout'],
      [4_000, 'timeout'],
    ],
    at: 6_000,
    expected: undefined,
  },
  {
    name: 'a worker that answers again after refusals',
    events: [
      [100, 'refused'],
      [350, 'refused'],
      [600, 'answer'],
      [2_400, 'refused'],
      [2_700, 'refused'],
    ],
    at: 2_700,
    expected: undefined,
  },
  {
    name: 'a worker that has said farewell and answers',
    events: [
      [100, 'farewell'],
      [150, 'answer'],
    ],
    at: 5_000,
    expected: undefined,
  },
  {
    name: 'a worker that has said farewell and whose connection was reset',
    events: [
      [100, 'farewell'],
      [150, 'timeout'],
    ],
    at: 200,
    expected: undefined,
  },
  {
    name: 'a worker that has said farewell and refuses connections',
    events: [
      [100, 'farewell'],
      [150, 'refused'],
    ],
    at: 150,
    expected: 'farewell',
  },
  {
    name: 'a worker that sends heartbeats after its farewell',
    events: [
      [100, 'farewell'],
      [200, 'heartbeat'],
      [250, 'refused'],
    ],
    at: 250,
    expected: undefined,
  },
];

for (const {name, events, at, expected} of cases) {
  void t.test(`${name} counts as ${expected === undefined ? 'up' : 'gone'}`, async t => {
    const presence = new WorkerPresence(heartbeatIntervalMs, 0);
    for (const [eventAt, event] of events) {
      if (event === 'heartbeat') presence.recordHeartbeat(eventAt);
      else if (event === 'farewell') presence.recordFarewell();
      else if (event === 'answer') presence.recordAnswer();
      else presence.recordFailure(event === 'refused', eventAt);
    }
    t.equal(presence.getEndReason(at), expected);
  });
}
