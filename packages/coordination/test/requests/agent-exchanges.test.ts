import t from 'tap';
import type {DataMessage, Dispatch} from '../../src/messages/data.js';
import type {
  AgentExchangesEffect,
  AgentExchangesEvent,
  OpenExchange,
} from '../../src/requests/agent-events.js';
import {agentWithBackend, hello} from './support.js';

function dispatch(sequence: number, change: Partial<Dispatch> = {}): AgentExchangesEvent {
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
    ...change,
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
const down: AgentExchangesEvent = {kind: 'peer-down', peer: 'entry'};
const up: AgentExchangesEvent = {kind: 'peer-up', peer: 'entry', hello: hello('entry', 'entry')};
const lapsed: AgentExchangesEvent = {kind: 'backend-lapsed', url: 'http://127.0.0.1:1'};

const leaving: AgentExchangesEvent = {
  kind: 'backend-announced',
  url: 'http://127.0.0.1:1',
  services: ['lookup'],
  slots: 8,
  connections: 64,
  draining: true,
};

interface Case {
  readonly guards: string;
  readonly slots?: number;
  readonly steps: ReadonlyArray<readonly [number, AgentExchangesEvent]>;
  /** Kinds of the messages to the entry, with the reason or state. */
  readonly told: readonly string[];
  readonly opened: number;
}

const cases: Case[] = [
  {
    guards: 'a duplicate dispatch runs a second time beside the first',
    steps: [
      [1, dispatch(1)],
      [2, dispatch(1)],
      [3, finished(1)],
    ],
    told: ['reply'],
    opened: 1,
  },
  {
    guards: 'a second attempt of a running request runs again or gets no answer',
    steps: [
      [1, dispatch(1)],
      [2, dispatch(1, {attempt: 2})],
      [3, finished(1)],
    ],
    told: ['reply', 'reply'],
    opened: 1,
  },
  {
    guards: 'a late copy of a finished request runs again',
    steps: [
      [1, dispatch(1)],
      [2, finished(1)],
      [3, dispatch(1, {attempt: 2})],
    ],
    told: ['reply', 'reply'],
    opened: 1,
  },
  {
    guards: 'a copy of a request that broke off is run again or called not run',
    steps: [
      [1, dispatch(1)],
      [2, failed(1, true)],
      [3, dispatch(1, {attempt: 2})],
    ],
    told: ['failed', 'failed'],
    opened: 1,
  },
  {
    guards: 'the answer `absent` is given and the late dispatch is run all the same',
    steps: [
      [1, message('recover', 1)],
      [2, dispatch(1)],
    ],
    told: ['recovered absent', 'rejected refused-id'],
    opened: 0,
  },
  {
    guards: 'the kept answer is lost for recovery',
    steps: [
      [1, dispatch(1)],
      [2, down],
      [3, finished(1)],
      [4, up],
      [5, message('recover', 1)],
    ],
    told: ['recovered finished', 'reply'],
    opened: 1,
  },
  {
    guards:
      'an entry that was paused for longer than answers are kept hears that its request did not run',
    steps: [
      [1, dispatch(1)],
      [2, down],
      [3, finished(1)],
      [40_000, {kind: 'tick'}],
      [50_000, up],
      [50_001, message('recover', 1)],
    ],
    told: ['recovered finished', 'failed'],
    opened: 1,
  },
  {
    guards: 'queued work of a lost entry runs for nobody',
    slots: 1,
    steps: [
      [1, dispatch(1)],
      [2, dispatch(2)],
      [3, down],
      [4, finished(1)],
      [5, up],
      [6, message('recover', 2)],
    ],
    told: ['recovered absent'],
    opened: 1,
  },
  {
    guards: 'work of a caller who gave up is begun',
    slots: 1,
    steps: [
      [1, dispatch(1)],
      [2, dispatch(2)],
      [3, message('cancel', 2)],
      [4, finished(1)],
    ],
    told: ['rejected cancelled', 'reply'],
    opened: 1,
  },
  {
    guards: 'the host gets more exchanges than it has slots',
    slots: 2,
    steps: [
      [1, dispatch(1)],
      [1, dispatch(2)],
      [1, dispatch(3)],
    ],
    told: [],
    opened: 2,
  },
  {
    guards: 'a request waits at the agent beyond the bound of its queue',
    slots: 1,
    steps: [
      [1, dispatch(1)],
      [1, dispatch(2)],
      [60, {kind: 'tick'}],
    ],
    told: ['rejected busy'],
    opened: 1,
  },
  {
    guards: 'a request is begun after its deadline',
    slots: 1,
    steps: [
      [1, dispatch(1)],
      [1, dispatch(2, {remainingMs: 10})],
      [12, {kind: 'tick'}],
      [13, finished(1)],
    ],
    told: ['rejected deadline', 'reply'],
    opened: 1,
  },
  {
    guards: 'an answer beyond the bound is passed on as a whole answer',
    steps: [
      [1, dispatch(1)],
      [2, finished(1, 4 * 1024 * 1024 + 1)],
    ],
    told: ['failed'],
    opened: 1,
  },
  {
    guards: 'a refused connection is called unknown although nothing was sent',
    steps: [
      [1, dispatch(1)],
      [2, failed(1, false)],
    ],
    told: ['rejected no-backend'],
    opened: 1,
  },
  {
    guards: 'a backend server that is gone receives new work',
    steps: [
      [1, lapsed],
      [2, dispatch(1)],
    ],
    told: ['rejected no-backend'],
    opened: 0,
  },
  {
    guards: 'a backend server whose goodbye was lost receives new work after 3 s',
    steps: [[3100, dispatch(1)]],
    told: ['rejected no-backend'],
    opened: 0,
  },
  {
    guards: 'a backend server that is leaving gets work from an entry that has not heard of it',
    steps: [
      [1, leaving],
      [900, dispatch(1)],
      [1002, leaving],
      [1100, dispatch(2)],
    ],
    told: ['rejected draining'],
    opened: 1,
  },
  {
    guards: 'requests that waited in the sockets of a stopped agent are run long after',
    steps: [
      [10, {kind: 'tick'}],
      [2500, dispatch(1)],
      [2650, dispatch(2)],
    ],
    told: ['rejected busy'],
    opened: 1,
  },
  {
    guards: 'a draining host takes new work after the grace time',
    steps: [
      [1, {kind: 'drain'}],
      [1100, dispatch(1)],
    ],
    told: ['rejected draining'],
    opened: 0,
  },
];

function getTold(effects: readonly AgentExchangesEffect[]): string[] {
  const told: string[] = [];
  for (const effect of effects) {
    if (effect.kind !== 'send') continue;
    const {message} = effect;
    if (message.kind === 'rejected') told.push(`rejected ${message.reason}`);
    else if (message.kind === 'recovered') told.push(`recovered ${message.state}`);
    else if (message.kind === 'reply' || message.kind === 'failed') told.push(message.kind);
  }
  return told;
}

void t.test('the agent runs a request at most once and says truly what became of it', async t => {
  for (const c of cases) {
    const agent = agentWithBackend(c.slots);
    const effects: AgentExchangesEffect[] = [];
    for (const [at, event] of c.steps) effects.push(...agent.reduce(event, at));
    t.same(getTold(effects), c.told, c.guards);
    const opened = effects.filter((e): e is OpenExchange => e.kind === 'open-exchange');
    t.equal(opened.length, c.opened, `${c.guards}: exchanges`);
  }
});
