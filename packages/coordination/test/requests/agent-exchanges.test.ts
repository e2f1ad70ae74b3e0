import t from 'tap';
import type {DataMessage, Dispatch} from '../../src/messages/data.js';
import type {
  AgentExchangesEffect,
  AgentExchangesEvent,
  OpenExchange,
} from '../../src/requests/agent-events.js';
import {createAgentWithBackend, hello} from './support.js';

function dispatch(sequence: number, overrides: Partial<Dispatch> = {}): AgentExchangesEvent {
  const message: Dispatch = {
    kind: 'dispatch',
    id: {origin: 1, sequence},
    attempt: 1,
    service: 'lookup',
    class: {team: 'team', kind: 'service', urgency: 'normal'},
    idempotent: false,
    remainingMs: 1000,
    method: 'POST',
    path: '/',
    headers: [],
    bodyLength: 0,
    ...overrides,
  };
  return {kind: 'message', peer: 'entry', message};
}

function message(kind: 'cancel' | 'recover', sequence: number): AgentExchangesEvent {
  return {
    kind: 'message',
    peer: 'entry',
    message: {kind, id: {origin: 1, sequence}, attempt: 1} as DataMessage,
  };
}

const finished = (exchange: number, bytes = 0): AgentExchangesEvent => ({
  kind: 'exchange-finished',
  exchange,
  status: 200,
  headers: [],
  body: new Uint8Array(bytes),
});
const failed = (exchange: number, begun: boolean): AgentExchangesEvent => ({
  kind: 'exchange-failed',
  exchange,
  begun,
  detail: 'cut',
});
const peerDown: AgentExchangesEvent = {kind: 'peer-down', peer: 'entry'};
const peerUp: AgentExchangesEvent = {
  kind: 'peer-up',
  peer: 'entry',
  hello: hello('entry', 'entry'),
};
const lapsed: AgentExchangesEvent = {kind: 'backend-lapsed', url: 'http://127.0.0.1:1'};

const drainingBackend: AgentExchangesEvent = {
  kind: 'backend-announced',
  url: 'http://127.0.0.1:1',
  services: ['lookup'],
  slots: 8,
  connections: 64,
  draining: true,
};

interface Case {
  /** Failure that the case guards against. */
  readonly guards: string;
  readonly slots?: number;
  readonly steps: ReadonlyArray<readonly [number, AgentExchangesEvent]>;
  /** Expected messages to the entry: kind, and reason or state. */
  readonly replies: readonly string[];
  readonly opened: number;
}

const cases: Case[] = [
  {
    guards: 'a duplicate dispatch runs a second time while the first is running',
    steps: [
      [1, dispatch(1)],
      [2, dispatch(1)],
      [3, finished(1)],
    ],
    replies: ['reply'],
    opened: 1,
  },
  {
    guards: 'a second attempt of a running request runs again or gets no answer',
    steps: [
      [1, dispatch(1)],
      [2, dispatch(1, {attempt: 2})],
      [3, finished(1)],
    ],
    replies: ['reply', 'reply'],
    opened: 1,
  },
  {
    guards: 'a late duplicate of a finished request runs again',
    steps: [
      [1, dispatch(1)],
      [2, finished(1)],
      [3, dispatch(1, {attempt: 2})],
    ],
    replies: ['reply', 'reply'],
    opened: 1,
  },
  {
    guards: 'a duplicate of a failed request runs again or is reported as not run',
    steps: [
      [1, dispatch(1)],
      [2, failed(1, true)],
      [3, dispatch(1, {attempt: 2})],
    ],
    replies: ['failed', 'failed'],
    opened: 1,
  },
  {
    guards: 'a dispatch runs although it arrives after the recovery answer `absent`',
    steps: [
      [1, message('recover', 1)],
      [2, dispatch(1)],
    ],
    replies: ['recovered absent', 'rejected refused-id'],
    opened: 0,
  },
  {
    guards: 'the answer is not sent again after a recovery query',
    steps: [
      [1, dispatch(1)],
      [2, peerDown],
      [3, finished(1)],
      [4, peerUp],
      [5, message('recover', 1)],
    ],
    replies: ['recovered finished', 'reply'],
    opened: 1,
  },
  {
    guards:
      'a request is reported as not run to an entry that was paused for longer than answers are cached',
    steps: [
      [1, dispatch(1)],
      [2, peerDown],
      [3, finished(1)],
      [40_000, {kind: 'tick'}],
      [50_000, peerUp],
      [50_001, message('recover', 1)],
    ],
    replies: ['recovered finished', 'failed'],
    opened: 1,
  },
  {
    guards: 'queued work of a disconnected entry runs although nobody waits for it',
    slots: 1,
    steps: [
      [1, dispatch(1)],
      [2, dispatch(2)],
      [3, peerDown],
      [4, finished(1)],
      [5, peerUp],
      [6, message('recover', 2)],
    ],
    replies: ['recovered absent'],
    opened: 1,
  },
  {
    guards: 'cancelled work that is still queued is started',
    slots: 1,
    steps: [
      [1, dispatch(1)],
      [2, dispatch(2)],
      [3, message('cancel', 2)],
      [4, finished(1)],
    ],
    replies: ['rejected cancelled', 'reply'],
    opened: 1,
  },
  {
    guards: 'more exchanges are opened than the host has slots',
    slots: 2,
    steps: [
      [1, dispatch(1)],
      [1, dispatch(2)],
      [1, dispatch(3)],
    ],
    replies: [],
    opened: 2,
  },
  {
    guards: 'a request waits in the queue of the agent for longer than `queueMs`',
    slots: 1,
    steps: [
      [1, dispatch(1)],
      [1, dispatch(2)],
      [60, {kind: 'tick'}],
    ],
    replies: ['rejected busy'],
    opened: 1,
  },
  {
    guards: 'a request is started after its deadline',
    slots: 1,
    steps: [
      [1, dispatch(1)],
      [1, dispatch(2, {remainingMs: 10})],
      [12, {kind: 'tick'}],
      [13, finished(1)],
    ],
    replies: ['rejected deadline', 'reply'],
    opened: 1,
  },
  {
    guards: 'an answer larger than the limit is passed on as a complete answer',
    steps: [
      [1, dispatch(1)],
      [2, finished(1, 4 * 1024 * 1024 + 1)],
    ],
    replies: ['failed'],
    opened: 1,
  },
  {
    guards: 'a refused connection is reported as possibly run although nothing was sent',
    steps: [
      [1, dispatch(1)],
      [2, failed(1, false)],
    ],
    replies: ['rejected no-backend'],
    opened: 1,
  },
  {
    guards: 'a backend server that is gone receives new requests',
    steps: [
      [1, lapsed],
      [2, dispatch(1)],
    ],
    replies: ['rejected no-backend'],
    opened: 0,
  },
  {
    guards: 'a backend server without announcements for 3 s receives new requests',
    steps: [[3100, dispatch(1)]],
    replies: ['rejected no-backend'],
    opened: 0,
  },
  {
    guards: 'a draining backend server still receives requests after the grace time',
    steps: [
      [1, drainingBackend],
      [900, dispatch(1)],
      [1002, drainingBackend],
      [1100, dispatch(2)],
    ],
    replies: ['rejected draining'],
    opened: 1,
  },
  {
    guards:
      'requests that were buffered in the sockets of a stopped agent run long after they were sent',
    steps: [
      [10, {kind: 'tick'}],
      [2500, dispatch(1)],
      [2650, dispatch(2)],
    ],
    replies: ['rejected busy'],
    opened: 1,
  },
  {
    guards: 'a draining host accepts new requests after the grace time',
    steps: [
      [1, {kind: 'drain'}],
      [1100, dispatch(1)],
    ],
    replies: ['rejected draining'],
    opened: 0,
  },
];

function getReplies(effects: readonly AgentExchangesEffect[]): string[] {
  const replies: string[] = [];
  for (const effect of effects) {
    if (effect.kind !== 'send') continue;
    const {message} = effect;
    if (message.kind === 'rejected') replies.push(`rejected ${message.reason}`);
    else if (message.kind === 'recovered') replies.push(`recovered ${message.state}`);
    else if (message.kind === 'reply' || message.kind === 'failed') replies.push(message.kind);
  }
  return replies;
}

void t.test('the agent runs a request at most once and reports its outcome correctly', async t => {
  for (const testCase of cases) {
    const agent = createAgentWithBackend(testCase.slots);
    const effects: AgentExchangesEffect[] = [];
    for (const [at, event] of testCase.steps) effects.push(...agent.reduce(event, at));
    t.same(getReplies(effects), testCase.replies, testCase.guards);
    const opened = effects.filter((e): e is OpenExchange => e.kind === 'open-exchange');
    t.equal(opened.length, testCase.opened, `${testCase.guards}: exchanges`);
  }
});
