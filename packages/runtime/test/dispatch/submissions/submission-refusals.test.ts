import t from 'tap';
import type {AttemptState, SubmissionCall, SubmissionReply} from '../../../src/dispatch/index.js';
import {
  createService,
  execute,
  type Fixture,
  full,
  id,
  queue,
  submit,
} from './submission-fixture.js';

/** Submissions, some of them repeated after an attempt without an answer, while the store does not serve this entry. */
const cases: ReadonlyArray<{
  readonly name: string;
  readonly fixture: Fixture;
  readonly reply: Partial<SubmissionReply>;
  readonly stored?: boolean;
}> = [
  {
    name: 'a repeated submission is not refused while an entry that was lost may have stored it',
    fixture: {
      faults: ['refused'],
      relayedReply: {kind: 'refused', retryAfterSeconds: 2, reason: 'store-unreachable'},
      attempt: 'unresolved',
    },
    reply: {kind: 'unknown'},
  },
  {
    name: 'nor is one behind a backlog',
    fixture: {backlogs: full, faults: ['refused'], entries: 0, attempt: 'unresolved'},
    reply: {kind: 'unknown'},
  },
  {
    name: 'a repeated submission that the owner knows is accepted while the store refuses all entries',
    fixture: {
      faults: ['refused'],
      relayedReply: {kind: 'refused', retryAfterSeconds: 2, reason: 'store-unreachable'},
      ownerStatus: 'queued',
    },
    reply: {kind: 'accepted'},
  },
  {
    name: 'a repeated submission that another entry has stored is accepted while the store refuses all entries',
    fixture: {
      faults: ['refused'],
      relayedReply: {kind: 'refused', retryAfterSeconds: 2, reason: 'store-unreachable'},
      attempt: 'stored',
    },
    reply: {kind: 'accepted'},
  },
  {
    name: 'a repeated submission is not refused because an entry without a configuration refuses it',
    fixture: {
      faults: ['refused'],
      relayedReply: {kind: 'refused', retryAfterSeconds: 1, reason: 'not-configured'},
      attempt: 'unresolved',
    },
    reply: {kind: 'unknown'},
  },
  {
    name: 'a repeated submission that the owner knows is accepted although an entry without a configuration refuses it',
    fixture: {
      faults: ['refused'],
      relayedReply: {kind: 'refused', retryAfterSeconds: 1, reason: 'not-configured'},
      ownerStatus: 'queued',
    },
    reply: {kind: 'accepted'},
  },
  {
    name: 'a new submission is refused when an entry without a configuration refuses it as well',
    fixture: {
      faults: ['refused'],
      relayedReply: {kind: 'refused', retryAfterSeconds: 1, reason: 'not-configured'},
    },
    reply: {kind: 'refused'},
    stored: false,
  },
  {
    name: 'a submission is not sent to a failing store, so that its caller can be refused at once',
    fixture: {
      isStoreFailing: true,
      relayedReply: {kind: 'refused', retryAfterSeconds: 2, reason: 'store-unreachable'},
    },
    reply: {kind: 'refused', reason: 'store-unreachable'},
    stored: false,
  },
  {
    name: 'the same by a single entry',
    fixture: {isStoreFailing: true, entries: 0},
    reply: {kind: 'refused', reason: 'store-unreachable'},
    stored: false,
  },
  {
    name: 'the same behind a backlog',
    fixture: {backlogs: full, isStoreFailing: true, entries: 0},
    reply: {kind: 'refused', reason: 'store-unreachable'},
    stored: false,
  },
  {
    name: 'a submission is passed on to an entry that the store answers',
    fixture: {isStoreFailing: true, relayedReply: {kind: 'accepted'}},
    reply: {kind: 'accepted'},
  },
  {
    name: 'a refusal by another entry that has read the store stands whatever an entry may have stored',
    fixture: {
      faults: ['refused'],
      relayedReply: {kind: 'refused', retryAfterSeconds: 5, reason: 'backlog'},
      attempt: 'unresolved',
    },
    reply: {kind: 'refused'},
    stored: false,
  },
  {
    name: 'a backlog still refuses work that the store does not hold',
    fixture: {backlogs: full, attempt: 'unresolved'},
    reply: {kind: 'refused', reason: 'backlog'},
    stored: false,
  },
];

for (const {name, fixture, reply, stored} of cases) {
  void t.test(name, async t => {
    const result = await execute(submit, fixture);
    t.match(result.reply, reply);
    if (stored !== undefined) t.equal(result.store.records.has(`work/job/${id}`), stored);
  });
}

void t.test(
  'a submission whose answer was lost is accepted again by its entry while the store refuses it',
  async t => {
    const {service, store} = createService({entries: 0});
    t.match(await service.execute(submit, {timeoutMs: 800}), {kind: 'accepted'});
    store.faults = ['refused', 'refused'];
    t.match(await service.execute(submit, {timeoutMs: 800}), {kind: 'accepted'});
  },
);

void t.test('a failing store is asked again, and used as soon as it answers', async t => {
  const {service, store, health} = createService({isStoreFailing: true, entries: 0});
  t.match(await service.execute(submit, {timeoutMs: 800}), {kind: 'refused'});
  t.equal(store.reads, 1);
  health.recordSuccess();
  t.match(await service.execute(submit, {timeoutMs: 800}), {kind: 'accepted'});
});

void t.test(
  'a write of this entry without an answer keeps its retry from being refused',
  async t => {
    const {service, store, health} = createService({entries: 0});
    store.faults = Array.from({length: 40}, () => 'unknown' as const);
    t.match(await service.execute(submit, {timeoutMs: 200}), {kind: 'unknown'});
    health.recordFailure(Number.NEGATIVE_INFINITY);
    t.match(await service.execute(submit, {timeoutMs: 200}), {kind: 'unknown'});
    store.faults = [];
    const reply = await service.execute(submit, {timeoutMs: 2_000});
    t.match(reply, {kind: 'accepted'}, 'the retry waits for the write that is under way');
  },
);

const cancel: SubmissionCall = {kind: 'cancel', queue: queue.key, id};

const cancelCases: ReadonlyArray<{
  readonly name: string;
  readonly attempt: AttemptState;
  readonly reply: SubmissionReply;
}> = [
  {name: 'absent when no entry knows of it', attempt: 'none', reply: {kind: 'absent'}},
  {
    name: 'unknown while an entry may still store it',
    attempt: 'unresolved',
    reply: {kind: 'unknown'},
  },
  {
    name: 'absent when an entry has stored it, because it has been removed since',
    attempt: 'stored',
    reply: {kind: 'absent'},
  },
];

for (const {name, attempt, reply} of cancelCases) {
  void t.test(`a cancel of a submission that the store does not hold is ${name}`, async t => {
    const result = await execute(cancel, {attempt});
    t.same(result.reply, reply);
  });
}

void t.test(
  'a cancel is not answered with absent while a write of this entry has no answer',
  async t => {
    const {service, store} = createService({entries: 0});
    store.faults = ['unknown'];
    t.match(await service.execute(submit, {timeoutMs: 50}), {kind: 'unknown'});
    t.match(await service.execute(cancel, {timeoutMs: 50}), {kind: 'unknown'});
  },
);
