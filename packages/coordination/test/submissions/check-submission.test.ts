import t from 'tap';
import {checkDraft, checkStoredDraft, type SubmissionDraft} from '../../src/submissions/index.js';

const step = {count: 2, need: {processors: 0.5, memoryMb: 100}, estimatedMs: 900};

const cases: ReadonlyArray<{
  readonly name: string;
  readonly draft: SubmissionDraft;
  readonly places: readonly string[];
}> = [
  {name: 'a minimal submission is valid', draft: {spec: 'x', steps: [step]}, places: []},
  {
    name: 'omitted fields read as 0, false or empty',
    draft: {spec: '', steps: [{count: 1}]},
    places: [],
  },
  {name: 'steps are required', draft: {spec: 'x'}, places: ['steps']},
  {name: 'an empty list of steps is refused', draft: {steps: []}, places: ['steps']},
  {
    name: 'a step that depends on itself or a later step is refused',
    draft: {steps: [step, {...step, after: [1]}]},
    places: ['steps[1].after'],
  },
  {
    name: 'all findings are reported, each with its place',
    draft: {spec: 7, steps: [{...step, count: -1, need: {processors: 'many'}, gang: 'yes'}]},
    places: ['spec', 'steps[0].count', 'steps[0].need.processors', 'steps[0].gang'],
  },
  {
    name: 'a spec above the limit is refused',
    draft: {spec: 'x'.repeat(4_001), steps: [step]},
    places: ['spec'],
  },
  {
    name: 'more tasks of all occurrences together than a record of them can hold are refused',
    draft: {steps: [{...step, count: 20_000}], repetitions: 51},
    places: ['steps'],
  },
  {
    name: 'more steps of all occurrences together than a record of them can hold are refused',
    draft: {steps: [step, step, step], repetitions: 7_000},
    places: ['steps'],
  },
  {name: 'a step that is not an object is refused', draft: {steps: ['x']}, places: ['steps[0]']},
];

void t.test(
  'the limits of totals do not make what an earlier version has accepted unreadable',
  async t => {
    const draft = {steps: [{...step, count: 20_000}], repetitions: 51};
    t.equal(checkStoredDraft(draft).findings, undefined);
  },
);

for (const {name, draft, places} of cases) {
  void t.test(name, async t => {
    const {findings = []} = checkDraft(draft);
    t.same([...findings.map(finding => finding.place)].sort(), [...places].sort());
  });
}
