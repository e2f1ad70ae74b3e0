import t from 'tap';
import type {Step} from '../../src/submissions/index.js';
import {CrashingFleet, queue, type CrashingFleetOptions} from './fleet/crashing-fleet.js';
import {createStep, createSubmission} from './fleet/shared-load.js';
import {createConfiguration, createQueue} from './fleet/virtual-fleet.js';

const id = '00000000000000d1';
const task = `${id}.0.0.0`;
const unknownQueue = createQueue({name: 'unknown'});

const cases: ReadonlyArray<{
  readonly name: string;
  readonly step?: Partial<Step>;
  readonly options?: CrashingFleetOptions;
  readonly queue?: string;
  /** Acts on a fleet to which the submission has been submitted. */
  readonly act?: (fleet: CrashingFleet) => void;
  /** Fields of the line of its end. */
  readonly fields: object;
}> = [
  {
    name: 'a task that has used all its attempts',
    options: {getBehaviour: () => ({faultyRuns: 9})},
    fields: {reason: 'failed', cause: 'attempts', task, failedRuns: 2, maxAttempts: 2},
  },
  {
    name: 'a task that has used the only attempt of a queue without settings',
    options: {getBehaviour: () => ({faultyRuns: 9})},
    queue: unknownQueue.key,
    fields: {reason: 'failed', cause: 'attempts', task, failedRuns: 1, maxAttempts: 1},
  },
  {
    name: 'a task whose attempts a new configuration has reduced',
    options: {getBehaviour: () => ({faultyRuns: 1, durationMs: 4_000})},
    step: {estimatedMs: 4_000},
    act: fleet => {
      while (!fleet.decisions.some(({event}) => event === 'run-ended')) fleet.run(fleet.now + 25);
      const queues = [{...queue, maxAttempts: 1}];
      fleet.post({kind: 'configuration', configuration: createConfiguration(queues)});
    },
    fields: {reason: 'failed', cause: 'attempts', task, failedRuns: 1, maxAttempts: 1},
  },
  {
    name: 'a task that crashes its workers',
    options: {getCrashDelayMs: name => (name === task ? 10 : undefined)},
    fields: {reason: 'failed', cause: 'crashes', task, crashes: 3},
  },
  {
    name: 'a cancel',
    step: {estimatedMs: 60_000},
    act: fleet => fleet.post({kind: 'cancelled', id}),
    fields: {reason: 'cancelled', cause: 'cancel', task: undefined},
  },
  {
    name: 'its last task',
    fields: {reason: 'completed', cause: undefined, task: undefined},
  },
];

for (const {name, step, options, queue: key = queue.key, act, fields} of cases) {
  void t.test(`the line of a submission's end says that it was decided by ${name}`, async t => {
    const fleet = new CrashingFleet(options);
    fleet.submit(createSubmission(id, key, [createStep({estimatedMs: 800, ...step})]));
    fleet.run(500);
    act?.(fleet);
    fleet.run(30_000);
    const [end] = fleet.decisions.filter(({event}) => event === 'submission-ended');
    t.match(end, {submission: id, ...fields});
  });
}
