import t from 'tap';
import {parseLog, SubmissionStory} from '../../src/explain/index.js';

const id = '00000000000000a1';
const other = '00000000000000a2';

/** A line as a process writes it, `at` milliseconds after the start. */
function createLine(at: number, process: string, event: string, fields: object = {}): string {
  const time = new Date(Date.UTC(2026, 0, 1) + at).toISOString();
  return JSON.stringify({
    name: 'chervilbeamd',
    process,
    pid: 7,
    event,
    ...fields,
    msg: event,
    time,
  });
}

const accepted = [
  createLine(0, 'entry-1', 'submission-acknowledged', {submission: id, how: 'stored'}),
  createLine(4, 'entry-2', 'submission-accepted', {submission: id, steps: '1x1c/900ms'}),
];
const placed = createLine(40, 'entry-2', 'run-placed', {
  submission: id,
  task: `${id}.0.0.0`,
  run: 1,
  worker: 'w1',
});

const cases: ReadonlyArray<{
  readonly name: string;
  readonly lines: readonly string[];
  readonly findings: readonly string[];
}> = [
  {
    name: 'a submission that was refused',
    lines: [
      createLine(0, 'entry-1', 'submission-refused', {
        submission: id,
        reason: 'backlog',
        ageMs: 90,
      }),
      createLine(9, 'entry-2', 'submission-refused', {
        submission: id,
        reason: 'backlog',
        waitMs: 9_000,
        ageMs: 20,
      }),
    ],
    findings: [
      'Refused 2 times: 2 backlog, last with an expected wait of 9000 ms, from backlogs 20 ms old.',
      'It was never accepted.',
    ],
  },
  {
    name: 'a submission that was completed late behind a failed run and a new owner',
    lines: [
      ...accepted,
      placed,
      createLine(90, 'entry-2', 'run-ended', {task: `${id}.0.0.0`, run: 1, reason: 'failed'}),
      createLine(95, 'entry-3', 'ownership-begun', {term: 9}),
      createLine(700, 'agent-1', 'order-start', {task: `${id}.0.0.0`, run: 1001}),
      createLine(990, 'entry-3', 'run-ended', {task: `${id}.0.0.0`, run: 1001, reason: 'done'}),
      createLine(1_000, 'entry-3', 'submission-ended', {
        submission: id,
        reason: 'completed',
        ageMs: 996,
      }),
    ],
    findings: [
      'It ended as completed after 996 ms.',
      'Storing the end took 10 ms after the last run had ended.',
      'The first run was placed 40 ms later.',
      'Runs that did not end as done: 1 failed.',
      'The owner changed meanwhile, to entry-3.',
    ],
  },
  {
    name: 'a submission that waited for advice',
    lines: [
      ...accepted,
      createLine(9, 'entry-2', 'advice-unavailable', {submission: id, reason: 'status 429'}),
      createLine(30, 'entry-2', 'advice-received', {
        submission: id,
        workers: 30,
        allowed: 2,
        ageMs: 20,
      }),
      placed,
    ],
    findings: [
      'It was accepted, and no log tells its end.',
      'The first run was placed 40 ms later.',
      'Its advisor was asked 1 times, 20 ms in all, and last allowed 2 of 30 workers.',
      'Its advisor gave no answer: 1 status 429.',
    ],
  },
  {
    name: 'a submission that waits',
    lines: accepted,
    findings: ['It was accepted, and no log tells its end.', 'No run of it was placed.'],
  },
  {
    name: 'a submission of which nothing ran for a while',
    lines: [
      ...accepted,
      createLine(4_000, 'entry-2', 'task-waiting', {
        ...{submission: id, task: `${id}.0.0.0`, reason: 'in-doubt', holds: 'in-doubt:1'},
        waitMs: 4_000,
      }),
      ...[9_000, 19_000].map(at =>
        createLine(at, 'entry-2', 'task-waiting', {
          ...{submission: id, task: `${id}.0.0.0`, reason: 'no-room', waitMs: at, workers: 5},
          refusals: 'processors:3 draining:2',
        }),
      ),
      createLine(19_000, 'entry-2', 'task-waiting', {submission: other, reason: 'no-worker'}),
    ],
    findings: [
      'It was accepted, and no log tells its end.',
      'No run of it was placed.',
      'Nothing of it ran for up to 19000 ms: 2 no-room, 1 in-doubt.',
      'Workers that would not take it, of 5: processors 3, draining 2.',
    ],
  },
  {
    name: 'a caller that was left unsure',
    lines: [createLine(0, 'entry-1', 'call-unresolved', {submission: id, call: 'submit'})],
    findings: ['One call ended with 504: the store or another entry did not answer in time.'],
  },
  ...[
    {
      fields: {cause: 'attempts', task: `${id}.0.0.0`, failedRuns: 2, maxAttempts: 2},
      finding: `Task ${id}.0.0.0 decided that: 2 of its runs failed, of 2 attempts.`,
    },
    {
      fields: {cause: 'crashes', task: `${id}.0.0.0`, crashes: 3},
      finding: `Task ${id}.0.0.0 decided that: 3 workers crashed under it.`,
    },
    {fields: {cause: 'cancel'}, finding: 'A caller cancelled it.'},
  ].map(({fields, finding}) => ({
    name: `an end with the cause ${fields.cause}`,
    lines: [
      createLine(9, 'entry-2', 'submission-ended', {submission: id, reason: 'failed', ...fields}),
    ],
    findings: ['It ended as failed.', finding],
  })),
  {
    name: 'runs that were stopped for others',
    lines: [
      ...accepted,
      placed,
      createLine(50, 'entry-2', 'run-stopped', {
        submission: id,
        task: `${id}.0.0.0`,
        reason: 'room-for-serving-task',
      }),
      createLine(60, 'entry-2', 'run-stopped', {submission: other, reason: 'too-slow'}),
    ],
    findings: [
      'It was accepted, and no log tells its end.',
      'The first run was placed 40 ms later.',
      'Runs were stopped: 1 room-for-serving-task.',
    ],
  },
];

for (const {name, lines, findings} of cases) {
  void t.test(`explains ${name}`, async t => {
    // The lines of different processes are in different files, which are read in any order.
    const logs = [...lines].reverse().map(line => parseLog(line).lines);
    t.same(new SubmissionStory(id, logs).getFindings(), findings);
  });
}

void t.test('the story has the lines of the id, its workers and the owners, in order', async t => {
  const text = [
    createLine(60, 'entry-2', 'worker-gone', {worker: 'w1', reason: 'replaced'}),
    placed,
    createLine(50, 'entry-2', 'worker-gone', {worker: 'w2', reason: 'farewell'}),
    createLine(55, 'entry-2', 'run-placed', {submission: other, task: `${other}.0.0.0`}),
    createLine(70, 'entry-2', 'run-lost', {submission: id, task: `${id}.0.0.0`, worker: 'w1'}),
    createLine(80, 'entry-3', 'ownership-begun'),
  ].join('\n');
  const story = new SubmissionStory(id, [parseLog(text).lines]);
  const events = story.lines.map(line => line.event);
  t.same(events, ['run-placed', 'worker-gone', 'run-lost']);
  t.ok(new SubmissionStory('00000000000000a3', [parseLog(text).lines]).isEmpty);
});

void t.test('a task has the lines of its own runs only', async t => {
  const lines = [placed, placed.replaceAll(`${id}.0.0.0`, `${id}.0.0.1`)];
  const story = new SubmissionStory(`${id}.0.0.1`, [parseLog(lines.join('\n')).lines]);
  t.equal(story.lines.length, 1);
});

const sources = [
  {name: 'a prefix of a log collector', text: `2026-01-01 host-1 ${placed}`, lines: 1, skipped: 0},
  {name: 'an empty line', text: `${placed}\n\n`, lines: 1, skipped: 0},
  {name: 'other output', text: `starting\n${placed}`, lines: 1, skipped: 1},
  {name: 'a truncated line', text: placed.slice(0, 60), lines: 0, skipped: 1},
  {name: 'JSON that is not a line', text: '{"event": 5, "time": "now"}', lines: 0, skipped: 1},
];
for (const {name, text, lines, skipped} of sources) {
  void t.test(`parses a log with ${name}`, async t => {
    const log = parseLog(text);
    t.equal(log.lines.length, lines);
    t.equal(log.skippedCount, skipped);
    t.equal(log.firstSkipped, skipped);
  });
}
