import t from 'tap';
import type {SubmissionReply} from '../../src/dispatch/index.js';
import {createService, execute, type Fixture, full, id, submit} from './submission-fixture.js';

/** Repeated submissions whose earlier attempt had no answer, while the store refuses this entry. */
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
      hasRecentLoss: true,
    },
    reply: {kind: 'unknown'},
  },
  {
    name: 'the same behind a backlog',
    fixture: {backlogs: full, faults: ['refused'], entries: 0, hasRecentLoss: true},
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
    name: 'a refusal by another entry that has read the store stands although an entry was lost',
    fixture: {
      faults: ['refused'],
      relayedReply: {kind: 'refused', retryAfterSeconds: 5, reason: 'backlog'},
      hasRecentLoss: true,
    },
    reply: {kind: 'refused'},
    stored: false,
  },
  {
    name: 'a backlog still refuses work that the store does not hold after an entry was lost',
    fixture: {backlogs: full, hasRecentLoss: true},
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
