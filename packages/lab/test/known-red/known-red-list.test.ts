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

const unsteadyList = parseKnownRed(
  'unsteady test: packages/a/test/x.test.ts > second\ncommand: npm test\nissue: memory\n',
);

const cases = [
  {
    name: 'an unsteady test passes',
    text: createTapOutput(
      createFileOutput(path, [
        ['first', true],
        ['second', true],
      ]),
    ),
    list: unsteadyList,
    shouldPass: true,
  },
  {
    name: 'an unsteady test fails',
    text: createTapOutput(
      createFileOutput(path, [
        ['first', true],
        ['second', false],
      ]),
    ),
    list: unsteadyList,
    shouldPass: true,
  },
  {
    name: 'an unsteady test did not run',
    text: createTapOutput(createFileOutput(path, [['first', true]])),
    list: unsteadyList,
    shouldPass: false,
  },
  {
    name: 'all tests pass and none is listed',
    text: createTapOutput(createFileOutput(path, [['first', true]])),
    list: [],
    shouldPass: true,
  },
  {
    name: 'a test that is not listed fails',
    text: createTapOutput(createFileOutput(path, [['first', false]])),
    list: [],
    shouldPass: false,
  },
  {
    name: 'only the listed test fails',
    text: createTapOutput(
      createFileOutput(path, [
        ['first', true],
        ['second', false],
      ]),
    ),
    list,
    shouldPass: true,
  },
  {
    name: 'a listed test passes',
    text: createTapOutput(
      createFileOutput(path, [
        ['first', true],
        ['second', true],
      ]),
    ),
    list,
    shouldPass: false,
  },
  {
    name: 'a listed test did not run',
    text: createTapOutput(createFileOutput(path, [['first', true]])),
    list,
    shouldPass: false,
  },
  {
    name: 'a test that is not listed fails in addition to a listed one',
    text: createTapOutput(
      createFileOutput(path, [
        ['first', false],
        ['second', false],
      ]),
    ),
    list,
    shouldPass: false,
  },
  {
    name: 'a file stops after a listed test failed',
    text: createTapOutput(createFileOutput(path, [['second', false]], 2)),
    list,
    shouldPass: false,
  },
  {
    name: 'a file is missing from the output',
    text: createTapOutput(createFileOutput(path, [['first', true]]), 2),
    list: [],
    shouldPass: false,
  },
  {name: 'there is no output', text: '', list: [], shouldPass: false},
];

void t.test('the build passes only when exactly the listed tests fail', async t => {
  for (const testCase of cases) {
    t.equal(
      isPassing(compareWithKnownRed(parseTapResults(testCase.text), testCase.list)),
      testCase.shouldPass,
      testCase.name,
    );
  }
});

void t.test(
  'an entry without a test name is rejected, so that a malformed list cannot hide a failure',
  async t => {
    t.throws(() => parseKnownRed('something else\n'));
    t.same(list, [
      {
        test: 'packages/a/test/x.test.ts > second',
        isUnsteady: false,
        details: 'command: npm test, seed 3\nissue: late',
      },
    ]);
  },
);
