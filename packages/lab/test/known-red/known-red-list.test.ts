import t from 'tap';
import {isPassing, compareWithKnownRed, parseKnownRed} from '../../src/known-red/known-red-list.js';
import {parseTapResults} from '../../src/known-red/tap-results.js';

const createFileOutput = (
  name: string,
  tests: ReadonlyArray<readonly [string, boolean]>,
  planned = tests.length,
) =>
  [
    `# Subtest: ${name}`,
    ...tests.map(([test, ok], i) => `    ${ok ? '' : 'not '}ok ${i + 1} - ${test} # time=1ms`),
    `    1..${planned}`,
    `${tests.every(([, ok]) => ok) && planned === tests.length ? '' : 'not '}ok 1 - ${name} # time=2ms`,
  ].join('\n');
const path = 'packages/a/dist/test/x.test.js';
const createTapOutput = (body: string, planned = 1) => `TAP version 14\n${body}\n1..${planned}\n`;
const list = parseKnownRed(
  '# Comment\n\ntest: packages/a/test/x.test.ts > second\ncommand: npm test, seed 3\nissue: late\n',
);

const cases = [
  {
    name: 'all pass, nothing listed',
    text: createTapOutput(createFileOutput(path, [['first', true]])),
    list: [],
    green: true,
  },
  {
    name: 'an unlisted failure fails',
    text: createTapOutput(createFileOutput(path, [['first', false]])),
    list: [],
    green: false,
  },
  {
    name: 'a listed failure passes',
    text: createTapOutput(
      createFileOutput(path, [
        ['first', true],
        ['second', false],
      ]),
    ),
    list,
    green: true,
  },
  {
    name: 'a listed test that passes fails',
    text: createTapOutput(
      createFileOutput(path, [
        ['first', true],
        ['second', true],
      ]),
    ),
    list,
    green: false,
  },
  {
    name: 'a listed test that did not run fails',
    text: createTapOutput(createFileOutput(path, [['first', true]])),
    list,
    green: false,
  },
  {
    name: 'another failure beside a listed one fails',
    text: createTapOutput(
      createFileOutput(path, [
        ['first', false],
        ['second', false],
      ]),
    ),
    list,
    green: false,
  },
  {
    name: 'a file that stops after a listed failure fails',
    text: createTapOutput(createFileOutput(path, [['second', false]], 2)),
    list,
    green: false,
  },
  {
    name: 'a missing file fails',
    text: createTapOutput(createFileOutput(path, [['first', true]]), 2),
    list: [],
    green: false,
  },
  {name: 'no output fails', text: '', list: [], green: false},
];

void t.test('the build passes only when exactly the listed tests fail', async t => {
  for (const c of cases) {
    t.equal(isPassing(compareWithKnownRed(parseTapResults(c.text), c.list)), c.green, c.name);
  }
});

void t.test(
  'an entry without a test name is rejected, so that a malformed list cannot hide a failure',
  async t => {
    t.throws(() => parseKnownRed('something else\n'));
    t.same(list, [
      {test: 'packages/a/test/x.test.ts > second', note: 'command: npm test, seed 3\nissue: late'},
    ]);
  },
);
