import t from 'tap';
import type {DataMessage, NotRunReason} from '../../src/messages/data.js';
import type {
  CallerAnswer,
  EntryRequestsEffect,
  EntryRequestsEvent,
  SendData,
} from '../../src/requests/entry-events.js';
import {announce, createCallerRequest, createEntryWithHosts, hello} from './support.js';

type Step = (sent: readonly SendData[]) => EntryRequestsEvent;

const tick: Step = () => ({kind: 'tick'});
const peerDown: Step = sent => ({kind: 'peer-down', peer: sent[0]!.peer});
const peerUp =
  (incarnation: number): Step =>
  sent => ({
    kind: 'peer-up',
    peer: sent[0]!.peer,
    hello: hello('agent', sent[0]!.peer, incarnation),
  });

/** Creates a reply to the n-th sent attempt, with the fields of `overrides` replaced. */
function answer(n: number, overrides: Partial<DataMessage> & {peer?: string} = {}): Step {
  return sent => {
    const {id, attempt} = sent[n]!.message;
    const {peer = sent[n]!.peer, ...rest} = overrides;
    const reply = {kind: 'reply', status: 200, headers: [], bodyLength: 0, credit: 1};
    return {kind: 'message', peer, message: {...reply, id, attempt, ...rest} as DataMessage};
  };
}

const rejected = (n: number, reason: NotRunReason): Step =>
  answer(n, {kind: 'rejected', reason, holdMs: 0} as Partial<DataMessage>);
const failed = (n: number): Step =>
  answer(n, {kind: 'failed', detail: 'cut'} as Partial<DataMessage>);
const recovered = (n: number, state: 'absent' | 'running'): Step =>
  answer(n, {kind: 'recovered', state} as Partial<DataMessage>);

interface Case {
  /** Failure that the case guards against. */
  readonly guards: string;
  readonly method: string;
  readonly steps: ReadonlyArray<readonly [number, Step]>;
  readonly outcomes: readonly string[];
  readonly dispatches: number;
}

const cases: Case[] = [
  {
    guards: 'a caller gets two answers when the reply is duplicated',
    method: 'GET',
    steps: [
      [1, answer(0)],
      [2, answer(0)],
    ],
    outcomes: ['answered'],
    dispatches: 1,
  },
  {
    guards: 'a reply with a different attempt number is accepted',
    method: 'GET',
    steps: [[1, answer(0, {attempt: 9})]],
    outcomes: [],
    dispatches: 1,
  },
  {
    guards: 'a reply of a peer to which the attempt was not sent is accepted',
    method: 'GET',
    steps: [[1, answer(0, {peer: 'stranger'})]],
    outcomes: [],
    dispatches: 1,
  },
  {
    guards: 'a truncated body is delivered as a complete answer',
    method: 'POST',
    steps: [[1, answer(0, {bodyLength: 5} as Partial<DataMessage>)]],
    outcomes: ['unknown'],
    dispatches: 1,
  },
  {
    guards: 'a rejected non-idempotent request is not retried although it did not run',
    method: 'POST',
    steps: [
      [1, rejected(0, 'busy')],
      [2, answer(1)],
    ],
    outcomes: ['answered'],
    dispatches: 2,
  },
  {
    guards: 'a non-idempotent request that may have run is sent again',
    method: 'POST',
    steps: [[1, failed(0)]],
    outcomes: ['unknown'],
    dispatches: 1,
  },
  {
    guards: 'an idempotent request is not retried after a failure',
    method: 'GET',
    steps: [
      [1, failed(0)],
      [2, answer(1)],
    ],
    outcomes: ['answered'],
    dispatches: 2,
  },
  {
    guards: 'a request is reported as not run although an earlier attempt may have run',
    method: 'GET',
    steps: [
      [1, failed(0)],
      [2, rejected(1, 'shed')],
    ],
    outcomes: ['unknown'],
    dispatches: 2,
  },
  {
    guards: 'a lost connection leads to a second run of a non-idempotent request',
    method: 'POST',
    steps: [
      [1, peerDown],
      [2, tick],
    ],
    outcomes: [],
    dispatches: 1,
  },
  {
    guards: 'a request is not retried elsewhere after the recovery answer `absent`',
    method: 'POST',
    steps: [
      [1, peerDown],
      [2, peerUp(7)],
      [3, recovered(0, 'absent')],
      [4, answer(2)],
    ],
    outcomes: ['answered'],
    dispatches: 2,
  },
  {
    guards: 'an answer that arrives after a reconnect is dropped',
    method: 'POST',
    steps: [
      [1, peerDown],
      [2, peerUp(7)],
      [3, recovered(0, 'running')],
      [4, answer(0)],
    ],
    outcomes: ['answered'],
    dispatches: 1,
  },
  {
    guards: 'a request is reported as not run because a restarted agent does not know it',
    method: 'POST',
    steps: [
      [1, peerDown],
      [2, peerUp(8)],
    ],
    outcomes: ['unknown'],
    dispatches: 1,
  },
  {
    guards: 'a request whose attempt was lost never gets an outcome',
    method: 'POST',
    steps: [
      [1, peerDown],
      [1100, tick],
    ],
    outcomes: ['unknown'],
    dispatches: 1,
  },
  {
    guards: 'a request whose deadline passes after dispatch is reported as not run',
    method: 'GET',
    steps: [[1001, tick]],
    outcomes: ['unknown'],
    dispatches: 1,
  },
  {
    guards: 'an answer after the deadline reaches the caller a second time',
    method: 'GET',
    steps: [
      [1001, tick],
      [1002, answer(0)],
    ],
    outcomes: ['unknown'],
    dispatches: 1,
  },
  {
    guards: 'a caller that has disconnected is answered',
    method: 'GET',
    steps: [
      [1, () => ({kind: 'caller-gone', caller: 1})],
      [2, answer(0)],
    ],
    outcomes: [],
    dispatches: 1,
  },
];

function isSend(effect: EntryRequestsEffect): effect is SendData {
  return effect.kind === 'send' && effect.message.kind !== 'cancel';
}

function isAnswer(effect: EntryRequestsEffect): effect is CallerAnswer {
  return effect.kind === 'answer';
}

void t.test('each request ends in at most one outcome, and the outcome is correct', async t => {
  for (const testCase of cases) {
    const entry = createEntryWithHosts('a', 'b');
    const effects = [...entry.reduce(createCallerRequest(1, testCase.method), 0)];
    for (const [at, step] of testCase.steps) {
      effects.push(...entry.reduce(step(effects.filter(isSend)), at));
    }
    const outcomes = effects.filter(isAnswer).map(e => e.outcome);
    t.same(outcomes, testCase.outcomes, testCase.guards);
    const sent = effects.filter(isSend).filter(e => e.message.kind === 'dispatch');
    t.equal(sent.length, testCase.dispatches, `${testCase.guards}: dispatches`);
  }
});

const refusals: ReadonlyArray<{
  guards: string;
  before: EntryRequestsEvent[];
  at: number;
  bytes: number;
  status: number;
}> = [
  {
    guards: 'a request for which there is no host is queued until its deadline',
    before: [{kind: 'peer-down', peer: 'a'}],
    at: 1,
    bytes: 0,
    status: 503,
  },
  {
    guards: 'a draining host receives new requests',
    before: [{kind: 'announce', peer: 'a', message: announce('a', true)}],
    at: 1,
    bytes: 0,
    status: 503,
  },
  {
    guards: 'a silent host receives new requests',
    before: [{kind: 'tick'}],
    at: 4000,
    bytes: 0,
    status: 503,
  },
  {
    guards: 'a body larger than the limit is accepted',
    before: [],
    at: 1,
    bytes: 1024 * 1024 + 1,
    status: 413,
  },
];

void t.test(
  'requests that cannot run are refused at once instead of at their deadline',
  async t => {
    for (const testCase of refusals) {
      const entry = createEntryWithHosts('a');
      for (const event of testCase.before) entry.reduce(event, testCase.at);
      const request = createCallerRequest(1, 'GET', {body: new Uint8Array(testCase.bytes)});
      const answers = entry.reduce(request, testCase.at).filter(isAnswer);
      t.same(
        [answers[0]?.outcome, answers[0]?.status],
        ['not-run', testCase.status],
        testCase.guards,
      );
    }
  },
);

void t.test('a drain waits for requests in flight, so that their answers are not lost', async t => {
  const entry = createEntryWithHosts('a');
  const sent = entry.reduce(createCallerRequest(1, 'GET', {timeoutMs: 9000}), 0).filter(isSend);
  entry.reduce({kind: 'drain'}, 1);
  const early = entry.reduce({kind: 'tick'}, 5000);
  t.notOk(
    early.some(e => e.kind === 'drained'),
    'the drain completes while a request is in flight',
  );
  const late = entry.reduce(answer(0)(sent), 5001);
  t.ok(late.some(isAnswer), 'the answer is lost');
  t.ok(
    late.some(e => e.kind === 'drained'),
    'the drain never completes',
  );
});

void t.test(
  'a shed retry does not end a request whose first attempt may still be answered',
  async t => {
    const entry = createEntryWithHosts('a1', 'a2');
    const effects: EntryRequestsEffect[] = [];
    const run = (event: EntryRequestsEvent, at: number) => effects.push(...entry.reduce(event, at));
    for (let caller = 1; caller <= 16; caller++)
      run(createCallerRequest(caller, 'GET', {timeoutMs: 5000}), 1);
    run({kind: 'peer-down', peer: 'a1'}, 10);
    for (let at = 20; at <= 1000; at += 10) {
      const message = {kind: 'heartbeat', stamp: at, configVersion: 1, inFlight: 8} as const;
      if (at % 500 === 0) run({kind: 'heartbeat', peer: 'a2', message}, at);
      run({kind: 'tick'}, at);
    }
    const retries = effects.filter(e => e.kind === 'count' && e.name === 'retries');
    t.ok(retries.length > 0, 'no request was retried');
    const unknown = effects.filter(e => e.kind === 'answer' && e.outcome === 'unknown');
    t.same(
      unknown,
      [],
      'a request ends as unknown although its first attempt may still be answered',
    );
  },
);
