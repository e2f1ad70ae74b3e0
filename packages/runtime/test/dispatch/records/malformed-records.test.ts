import {Dispatcher, type DispatchEvent} from '@chervilbeam/coordination';
import fc from 'fast-check';
import t from 'tap';
import {
  parseEntry,
  parseOwner,
  parseOwners,
  parseProgress,
  parseRoster,
  parseSubmission,
} from '../../../src/dispatch/records/record-parsers.js';
import {readStoredState} from '../../../src/dispatch/records/stored-state.js';
import {getNestedTexts, mutate, nestedText} from '../mutations.js';
import {oddAddresses} from '../odd-addresses.js';
import {createTestLog} from '../test-log.js';
import {MemoryStore} from './memory-store.js';

/** Length of the log lines about one record. */
const maxLogCharacters = 500;
const id = '00000000000000a1';
const other = '00000000000000a2';
const submission = {
  id,
  queue: 'a.example/proofs/',
  service: 'press',
  spec: 'x',
  steps: [{count: 2, need: {processors: 1, memoryMb: 1}, estimatedMs: 10, after: [], gang: true}],
  repetitions: 2,
  startAtMs: 1,
  intervalMs: 5,
  acceptedAtMs: 7,
  policy: {
    key: 'a.example/proofs/',
    name: 'proofs',
    service: 'press',
    priority: 2,
    maxAttempts: 2,
    stretchFactor: 2,
    targetLatencyMs: 1_000,
    advice: {decisionMs: 50, perWorkerMs: 5},
  },
};
const progress = {
  finished: {'0.0': '3'},
  failures: [[0, 0, 1, [1, 2]]],
  checkpoints: [[0, 0, 1, 'abc']],
  crashes: [[0, 0, 1, ['a@1'], ['b@2']]],
  policy: submission.policy,
};
const roster = [{agent: 'a', life: 'a@1'}];
const owner = {name: 'entry', address: '10.0.0.1:1', nonce: 'n-1'};

const parsers: ReadonlyArray<{
  readonly name: string;
  readonly valid: object;
  readonly parse: (value: string) => unknown;
}> = [
  {name: 'a submission', valid: submission, parse: parseSubmission},
  {name: 'progress', valid: progress, parse: parseProgress},
  {name: 'a roster', valid: roster, parse: parseRoster},
  {name: 'an owner', valid: owner, parse: parseOwner},
  {name: 'an entry', valid: {address: '10.0.0.1:1', processors: 1}, parse: parseEntry},
];

for (const {name, valid, parse} of parsers) {
  void t.test(`the record of ${name} is parsed, and a malformed one never throws`, async t => {
    t.match(parse(JSON.stringify(valid)), 'policy' in valid ? {policy: valid.policy} : {});
    fc.assert(
      fc.property(fc.oneof(mutate(valid).map(stringify), fc.string()), text => {
        parse(text);
      }),
      {seed: 11, numRuns: 400},
    );
  });
}

const rewritten: typeof parsers = [
  ...parsers,
  {
    name: 'a worker of a roster',
    valid: {agent: 'a', life: 'a@1'},
    parse: text => parseRoster(`[${text}]`),
  },
  {
    name: 'a failed run',
    valid: {},
    parse: text => parseProgress(JSON.stringify(progress).replace('[1,2]', `[1,${text}]`)),
  },
];

// Owners write these records again, which cannot be done with a field of any depth.
for (const {name, valid, parse} of rewritten) {
  for (const {name: field, text} of getNestedTexts(valid)) {
    void t.test(
      `a parsed record of ${name} with a deeply nested ${field} can be written`,
      async t => {
        t.doesNotThrow(() => JSON.stringify(parse(text)));
      },
    );
  }
}

const otherOwner = {name: 'other', address: '10.0.0.2:1', nonce: 'o-1'};
for (const {name, text} of getNestedTexts(owner)) {
  void t.test(`a list of owners with a deeply nested ${name} does not end the claim`, async t => {
    const list = `[${JSON.stringify(otherOwner)},${text}]`;
    const owners = parseOwners(list);
    t.same(owners, name === 'extra' ? [otherOwner, owner] : undefined);
  });
}

// Each process dials all entries and owners that it reads.
for (const address of [...oddAddresses, 7, null, [], {}]) {
  void t.test(`a record with the address ${describe(address)} names no process`, async t => {
    t.equal(parseEntry(JSON.stringify({address, processors: 1})), undefined);
    t.equal(parseOwner(JSON.stringify({...owner, address})), undefined);
    t.equal(parseOwners(JSON.stringify([otherOwner, {...owner, address}])), undefined);
  });
}

for (const address of ['10.0.0.1:1', 'host-1.example:65535', '[::1]:8080', 'localhost:80']) {
  void t.test(`a record with the address ${address} names a process`, async t => {
    t.match(parseEntry(JSON.stringify({address, processors: 1})), {address});
    t.match(parseOwner(JSON.stringify({...owner, address})), {address});
  });
}

for (const text of ['1e400', '1e308', '-1', '"9"', 'null', nestedText]) {
  void t.test(
    `an entry with ${text.slice(0, 10)} processors cannot be the stronger one`,
    async t => {
      const record = `{"address":"10.0.0.1:1","processors":${text}}`;
      t.equal(parseEntry(record)?.processors, 0);
    },
  );
}

function describe(value: unknown): string {
  return JSON.stringify(value).slice(0, 30);
}

void t.test('a record without crashes, from an older version, is parsed', async t => {
  t.ok(parseProgress(JSON.stringify({...progress, crashes: undefined})));
});

void t.test('the parsed progress has all fields of the record', async t => {
  t.same(parseProgress(JSON.stringify(progress)), progress);
  const final = {...progress, final: 'completed', endedAtMs: 9};
  t.same(parseProgress(JSON.stringify(final)), final);
});

const malformedCrashes: readonly unknown[] = [
  7,
  null,
  {},
  [7],
  [[0, 0, 1, ['a@1']]],
  [[0, 0, 1, 'a@1', []]],
  [[0, 0, 1, ['a@1'], [7]]],
  [[0, 0, 1, ['a@1'], ['b@2'], 0]],
];

for (const crashes of malformedCrashes) {
  void t.test(`progress with the crashes ${stringify(crashes)} is unreadable`, async t => {
    t.equal(parseProgress(JSON.stringify({...progress, crashes})), undefined);
  });
}

function stringify(value: unknown): string {
  return JSON.stringify(value) ?? '';
}

// The new owner, which loads the record, ended; so did the next one.
for (const {name, text} of getNestedTexts(submission)) {
  void t.test(
    `a submission with a deeply nested ${name} does not keep the others away`,
    async t => {
      const store = new MemoryStore();
      store.put(`work/job/${other}`, JSON.stringify({...submission, id: other}));
      store.put(`work/job/${id}`, text);
      const {log, lines} = createTestLog();
      const stored = await readStoredState({
        store,
        log,
        maxBytes: Number.POSITIVE_INFINITY,
        shouldContinue: () => true,
      });
      t.ok(stored?.submissions.some(each => each.submission.id === other));
      t.ok(JSON.stringify(lines).length < maxLogCharacters);
    },
  );
}

void t.test('an owner loads and dispatches whatever records the store holds', async () => {
  await fc.assert(
    fc.asyncProperty(
      mutate(submission).map(stringify),
      mutate(progress).map(stringify),
      mutate(roster).map(stringify),
      async (submissionText, progressText, rosterText) => {
        const store = new MemoryStore();
        store.put(`work/job/${id}`, submissionText);
        store.put(`progress/${id}`, progressText);
        store.put('roster', rosterText);
        const stored = await readStoredState({
          store,
          log: createTestLog().log,
          maxBytes: Number.POSITIVE_INFINITY,
          shouldContinue: () => true,
        });
        const dispatcher = new Dispatcher();
        const events: DispatchEvent[] = [
          {
            kind: 'begin',
            term: 2,
            generation: 1,
            submissions: stored?.submissions ?? [],
            roster: stored?.roster ?? [],
            wallMs: 10,
          },
          {kind: 'tick', wallMs: 200},
        ];
        for (const event of events) dispatcher.reduce(event, 100);
      },
    ),
    {seed: 12, numRuns: 300},
  );
});

const unreadable: ReadonlyArray<{
  readonly name: string;
  readonly key: string;
  readonly expected: readonly string[];
}> = [
  {name: 'a submission', key: `work/job/${id}`, expected: [other]},
  // Without its progress, finished tasks of the submission would run again.
  {name: 'progress', key: `progress/${id}`, expected: [other]},
  {name: 'the roster', key: 'roster', expected: [id, other]},
];

for (const {name, key, expected} of unreadable) {
  for (const text of ['{', 'null', '7', '[]', '{"finished":7}']) {
    if (name === 'the roster' && text === '[]') continue;
    void t.test(`an unreadable record of ${name} (${text}) does not end the owner`, async t => {
      const store = new MemoryStore();
      for (const each of [id, other]) {
        store.put(`work/job/${each}`, JSON.stringify({...submission, id: each}));
        store.put(`progress/${each}`, JSON.stringify(progress));
      }
      store.put('roster', JSON.stringify(roster));
      store.put(key, text);
      const {log, lines} = createTestLog();
      const stored = await readStoredState({
        store,
        log,
        maxBytes: Number.POSITIVE_INFINITY,
        shouldContinue: () => true,
      });
      t.same(
        stored?.submissions.map(each => each.submission.id),
        expected,
      );
      t.equal(stored?.roster.length, 1, 'the new owner waits for the workers of its predecessor');
      t.match(lines, [{event: 'record-unreadable', key}]);
    });
  }
}
