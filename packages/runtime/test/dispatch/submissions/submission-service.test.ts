import {getQueueGroup, QueueBacklogs} from '@chervilbeam/coordination';
import t from 'tap';
import type {SubmissionCall, SubmissionReply} from '../../../src/dispatch/index.js';
import {
  createCostBacklogs,
  execute,
  type Fixture,
  full,
  id,
  queue,
  submit,
  waits,
  withoutMemory,
} from './submission-fixture.js';

const cases: ReadonlyArray<{
  readonly name: string;
  readonly call?: SubmissionCall;
  readonly fixture: Fixture;
  readonly reply: Partial<SubmissionReply>;
  readonly stored?: boolean;
}> = [
  {
    name: 'a submission is accepted once it is stored',
    fixture: {},
    reply: {kind: 'accepted'},
    stored: true,
  },
  {
    name: 'a repeated submission is accepted without being stored twice',
    fixture: {storedKeys: [`work/job/${id}`]},
    reply: {kind: 'accepted'},
  },
  {
    name: 'a submission is refused before the first configuration',
    fixture: {isConfigured: false},
    reply: {kind: 'refused', reason: 'not-configured'},
    stored: false,
  },
  {
    name: 'a submission to an unknown queue is rejected',
    call: {...submit, queue: 'elsewhere'},
    fixture: {},
    reply: {kind: 'no-queue'},
  },
  {
    name: 'a write whose reply was lost is accepted, because its retry finds the submission stored',
    fixture: {faults: ['lost']},
    reply: {kind: 'accepted'},
    stored: true,
  },
  {
    name: 'a write without a reply is not reported as refused, because it may take effect',
    fixture: {faults: Array.from({length: 10}, () => 'unknown' as const), timeoutMs: 400},
    reply: {kind: 'unknown'},
  },
  {
    name: 'a call is relayed to another entry when the store refuses this one',
    fixture: {faults: ['refused'], relayedReply: {kind: 'accepted'}},
    reply: {kind: 'accepted'},
  },
  {
    name: 'a refusal of the store is returned at once when there is no other entry',
    fixture: {faults: ['refused'], entries: 0},
    reply: {kind: 'refused', reason: 'store-unreachable'},
    stored: false,
  },
  {
    name: 'a refusal of the store is returned when the other entries are refused as well',
    fixture: {
      faults: ['refused'],
      relayedReply: {kind: 'refused', retryAfterSeconds: 2, reason: 'store-unreachable'},
    },
    reply: {kind: 'refused', reason: 'store-unreachable'},
    stored: false,
  },
  {
    name: 'a submission that another entry may have stored is not reported as refused',
    fixture: {faults: ['refused']},
    reply: {kind: 'unknown'},
  },
  {
    name: 'a call is hedged to another entry before the caller times out when the store does not answer',
    fixture: {
      faults: Array.from({length: 10}, () => 'unknown' as const),
      relayedReply: {kind: 'accepted'},
      timeoutMs: 1_000,
    },
    reply: {kind: 'accepted'},
  },
  {
    name: 'a refusal by another entry is not returned while the local write may take effect',
    fixture: {
      faults: Array.from({length: 10}, () => 'unknown' as const),
      relayedReply: {kind: 'refused', retryAfterSeconds: 2, reason: 'backlog'},
      timeoutMs: 900,
    },
    reply: {kind: 'unknown'},
  },
  {
    name: 'an unknown queue at another entry is not conclusive, because its configuration may be older',
    fixture: {faults: ['refused'], relayedReply: {kind: 'no-queue'}},
    reply: {kind: 'unknown'},
  },
  {
    name: 'work that cannot finish in time is refused at once',
    fixture: {backlogs: full},
    reply: {kind: 'refused', reason: 'backlog'},
    stored: false,
  },
  {
    name: 'work is accepted although there is a long backlog of work that goes behind it',
    fixture: {backlogs: createCostBacklogs(0), scheduling: 'cost'},
    reply: {kind: 'accepted'},
    stored: true,
  },
  {
    name: 'work that cannot finish in time behind what goes before it is refused at once',
    fixture: {backlogs: createCostBacklogs(60_000), scheduling: 'cost'},
    reply: {kind: 'refused', reason: 'backlog'},
    stored: false,
  },
  {
    name: 'the sum of the waiting work decides when an older owner publishes nothing else',
    fixture: {backlogs: full, scheduling: 'cost'},
    reply: {kind: 'refused', reason: 'backlog'},
    stored: false,
  },
  {
    name: 'without the setting, the sum of the waiting work decides',
    fixture: {backlogs: createCostBacklogs(0)},
    reply: {kind: 'refused', reason: 'backlog'},
    stored: false,
  },
  {
    name: 'work for which the owner has no memory is refused at once',
    fixture: {backlogs: withoutMemory},
    reply: {kind: 'refused', reason: 'memory'},
    stored: false,
  },
  {
    name: 'a retry of a submission that only the store has is accepted although the owner has no memory',
    fixture: {backlogs: withoutMemory, storedKeys: [`work/job/${id}`]},
    reply: {kind: 'accepted'},
  },
  {
    name: 'a retry of a submission that the owner knows is accepted despite the backlog',
    fixture: {backlogs: full, ownerStatus: 'running'},
    reply: {kind: 'accepted'},
  },
  {
    name: 'a retry of a submission that only the store has is accepted despite the backlog',
    fixture: {backlogs: full, storedKeys: [`work/job/${id}`]},
    reply: {kind: 'accepted'},
  },
  {
    name: 'a retry is not refused while neither owner nor store answers',
    fixture: {backlogs: full, faults: ['unknown']},
    reply: {kind: 'unknown'},
  },
  {
    name: 'a caller with little time left is told that its submission is stored',
    fixture: {timeoutMs: 120, commitDelayMs: 30},
    reply: {kind: 'accepted'},
    stored: true,
  },
  {
    name: 'a caller with little time left is not refused while another entry may store its submission',
    fixture: {faults: ['refused'], timeoutMs: 120, relayDelayMs: 200},
    reply: {kind: 'unknown'},
  },
  {
    name: 'a submission that came too late to be tried is refused',
    fixture: {faults: ['refused'], timeoutMs: 0, relayDelayMs: 200},
    reply: {kind: 'refused', reason: 'store-unreachable'},
    stored: false,
  },
  {
    name: 'work behind a backlog is refused while the store refuses this entry and the others',
    fixture: {
      backlogs: full,
      faults: ['refused'],
      relayedReply: {kind: 'refused', retryAfterSeconds: 2, reason: 'store-unreachable'},
    },
    reply: {kind: 'refused', reason: 'store-unreachable'},
    stored: false,
  },
  {
    name: 'a retry behind a backlog is accepted when another entry finds it in the store',
    fixture: {backlogs: full, faults: ['refused'], relayedReply: {kind: 'accepted'}},
    reply: {kind: 'accepted'},
  },
  {
    name: 'work behind a backlog is refused by a single entry whose store refuses it',
    fixture: {backlogs: full, faults: ['refused'], entries: 0},
    reply: {kind: 'refused', reason: 'store-unreachable'},
    stored: false,
  },
  {
    name: 'the state comes from the owner when it replies',
    call: {kind: 'query', queue: queue.key, id},
    fixture: {ownerStatus: 'running'},
    reply: {kind: 'state', status: 'running'},
  },
  {
    name: 'a stored submission that the owner does not know yet is queued, not absent',
    call: {kind: 'query', queue: queue.key, id},
    fixture: {storedKeys: [`work/job/${id}`]},
    reply: {kind: 'state', status: 'queued'},
  },
  {
    name: 'a final state is read from the store when there is no owner',
    call: {kind: 'query', queue: queue.key, id},
    fixture: {storedKeys: [`work/job/${id}`, `progress/${id}`]},
    reply: {kind: 'state', status: 'completed'},
  },
  {
    name: 'a submission of another queue is reported as absent',
    call: {kind: 'query', queue: 'other', id},
    fixture: {storedKeys: [`work/job/${id}`]},
    reply: {kind: 'absent'},
  },
  {
    name: 'a submission is not reported as absent while the store does not answer',
    call: {kind: 'query', queue: queue.key, id},
    fixture: {faults: ['unknown']},
    reply: {kind: 'refused', reason: 'store-unreachable'},
  },
  {
    name: 'a cancel is acknowledged once it is stored, also when a write without a reply is retried',
    call: {kind: 'cancel', queue: queue.key, id},
    fixture: {storedKeys: [`work/job/${id}`], faults: [undefined, 'unknown']},
    reply: {kind: 'cancelled'},
  },
  {
    name: 'a cancel of an unknown submission is answered with absent',
    call: {kind: 'cancel', queue: queue.key, id},
    fixture: {},
    reply: {kind: 'absent'},
  },
  {
    name: 'the number of pending submissions comes from the backlog that the owner published',
    call: {kind: 'count', queue: queue.key},
    fixture: {backlogs: full},
    reply: {kind: 'pending', count: 7},
  },
  {
    name: 'a queue without submissions has none pending, although the owner does not publish it',
    call: {kind: 'count', queue: queue.key},
    fixture: {backlogs: new QueueBacklogs([{group: getQueueGroup(queue), ...waits}], [])},
    reply: {kind: 'pending', count: 0},
  },
  {
    name: 'the owner is asked for the number of a queue whose group it has not published',
    call: {kind: 'count', queue: queue.key},
    fixture: {backlogs: new QueueBacklogs([{group: 'other/1', ...waits}], []), ownerPending: 3},
    reply: {kind: 'pending', count: 3},
  },
  {
    name: 'the number of pending submissions is not given as 0 when no owner replies',
    call: {kind: 'count', queue: queue.key},
    fixture: {storedKeys: [`work/job/${id}`]},
    reply: {kind: 'refused', reason: 'backlog-unknown'},
  },
];

for (const {name, call = submit, fixture, reply, stored} of cases) {
  void t.test(name, async t => {
    const result = await execute(call, fixture);
    t.match(result.reply, reply);
    if (stored !== undefined) t.equal(result.store.records.has(`work/job/${id}`), stored);
  });
}

void t.test(
  'the entry notifies the owner of a stored cancel, because the owner may not reach the store',
  async t => {
    const cancel: SubmissionCall = {kind: 'cancel', queue: queue.key, id};
    const {notified} = await execute(cancel, {storedKeys: [`work/job/${id}`]});
    t.same(notified, [id]);
    const refused = await execute(cancel, {});
    t.same(refused.notified, [], 'a cancel that did not take effect is not passed on');
  },
);

void t.test('a refusal is logged with the expected wait and the age of the backlogs', async t => {
  const {lines} = await execute(submit, {backlogs: full});
  t.match(lines, [
    {event: 'submission-refused', submission: id, reason: 'backlog', waitMs: 60_000},
  ]);
  t.type(lines[0]?.ageMs, 'number');
});

void t.test('a cancel is stored although the submission is rewritten meanwhile', async t => {
  const cancel: SubmissionCall = {kind: 'cancel', queue: queue.key, id};
  const {reply, store} = await execute(cancel, {
    storedKeys: [`work/job/${id}`],
    onRead: (store, key) => store.put(key, JSON.stringify({id, queue: queue.key, steps: []})),
  });
  t.match(reply, {kind: 'cancelled'});
  t.ok(store.records.has(`work/cancel/${id}`));
});

void t.test(
  'a cancel of a submission that is removed meanwhile is answered with absent',
  async t => {
    const cancel: SubmissionCall = {kind: 'cancel', queue: queue.key, id};
    const {reply} = await execute(cancel, {
      storedKeys: [`work/job/${id}`],
      onRead: (store, key) => store.records.delete(key),
    });
    t.match(reply, {kind: 'absent'});
  },
);
