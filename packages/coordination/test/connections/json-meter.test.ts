import t from 'tap';
import {isAlwaysWithin, JsonMeter} from '../../src/connections/index.js';
import {getSubmissionJsonLimits} from '../../src/submissions/index.js';

const maxBodyBytes = 262_144;
const limits = getSubmissionJsonLimits(maxBodyBytes);

/** A step with all fields that the platform knows. */
const step = {
  count: 1,
  cpu: 1,
  memory_request_mb: 1,
  gpu: 0,
  estimated_ms: 1,
  after: [],
  checkpointing: true,
  gang: false,
  same_rack: false,
  requirements: 'a',
  affinity: '',
  anti_affinity: 0,
  speculative: false,
  long_running: false,
  image: '',
  target_ms: 0,
  fills: true,
  max_unavailable: 0,
};

const cases: ReadonlyArray<{
  readonly name: string;
  readonly text: string;
  readonly isWithin: boolean;
}> = [
  // No caller within the limits of a submission may be refused.
  {
    name: 'as many steps as a submission may have, with all fields',
    text: JSON.stringify({spec: 'x'.repeat(4_000), steps: Array(1_000).fill(step)}),
    isWithin: true,
  },
  {
    name: 'lists of earlier steps that fill the body',
    text: JSON.stringify({
      steps: Array.from({length: 360}, (_, index) => ({after: Array(index).fill(0) as number[]})),
    }),
    isWithin: true,
  },
  {
    name: 'a spec of characters that are parts of JSON outside texts',
    text: JSON.stringify({spec: '{[:,"\\'.repeat(20_000), steps: [step]}),
    isWithin: true,
  },
  {name: 'many short objects', text: `[${'{"a":1},'.repeat(32_000)}1]`, isWithin: false},
  {name: 'many members', text: `{${'"a":1,'.repeat(43_000)}"b":1}`, isWithin: false},
  {name: 'deep lists', text: '['.repeat(100_000), isWithin: false},
];

for (const {name, text, isWithin} of cases) {
  void t.test(`${name}: ${isWithin ? 'within' : 'beyond'} the limits of a submission`, async t => {
    const bytes = Buffer.from(text);
    t.equal(new JsonMeter(limits).add(bytes), isWithin, 'in one piece');
    const meter = new JsonMeter(limits);
    let isEachWithin = true;
    for (let offset = 0; offset < bytes.length; offset += 61) {
      isEachWithin = meter.add(bytes.subarray(offset, offset + 61));
    }
    t.equal(isEachWithin, isWithin, 'in small pieces');
    t.notOk(isAlwaysWithin(limits, bytes.length) && !isWithin, 'never skipped');
  });
}
