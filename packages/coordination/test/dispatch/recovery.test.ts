import t from 'tap';
import {defaultDispatchTiming} from '../../src/dispatch/index.js';
import {createStep, createSubmission, sharedQueues} from './fleet/shared-load.js';
import {VirtualFleet} from './fleet/virtual-fleet.js';
import {createWorkers} from './fleet/virtual-worker.js';

const {leaseMs, clockDrift, previousOwnerMaxMs} = defaultDispatchTiming;
const id = '00000000000000a1';
const tasks = 4;
/** Time of the takeover in milliseconds. */
const takeoverAt = 4_000;
/** Time in milliseconds until a lease that is granted now has expired, also on a slow clock. */
const leaseEndMs = leaseMs / (1 - clockDrift);
/** Time in milliseconds for commands, reports and the startup of a task. */
const marginMs = 1_000;

const cases = [
  {
    name: 'when nothing is known of the previous owner, it may go on for its longest time',
    endedAgoMs: undefined,
    withinMs: previousOwnerMaxMs + leaseEndMs,
  },
  {name: 'when the previous owner has just ended', endedAgoMs: 0, withinMs: leaseEndMs},
  {
    name: 'when the previous owner ended before the takeover',
    endedAgoMs: 2_500,
    withinMs: leaseEndMs - 2_500,
  },
];

for (const {name, endedAgoMs, withinMs} of cases) {
  void t.test(`tasks of a worker that is cut off restart in time: ${name}`, async t => {
    const fleet = new VirtualFleet({
      seed: 1,
      queues: Object.values(sharedQueues),
      workers: createWorkers(2),
    });
    const step = createStep({count: tasks, cores: 2, lasting: true, spreadLimit: 2});
    const wide = {...step, spreadLimit: tasks};
    fleet.submit(createSubmission(id, sharedQueues.watch.key, [step]));
    fleet.submit(createSubmission('00000000000000b2', sharedQueues.watch.key, [wide]));
    fleet.run(takeoverAt - (endedAgoMs ?? 0));
    // The worker runs on, but reaches neither owner any more.
    const cutOff = fleet.workers.get('w0');
    fleet.workers.delete('w0');
    if (cutOff === undefined) throw new RangeError('no worker w0');
    const hadRuns = cutOff.runs.size;
    fleet.ownerPausedUntil = takeoverAt;
    let mostRuns = 0;
    fleet.onStep = () => {
      cutOff.advance(fleet.now, 25);
      for (const task of cutOff.runs.keys()) {
        mostRuns = Math.max(mostRuns, 1 + fleet.countRuns(task));
      }
    };
    fleet.run(takeoverAt);
    fleet.startOwner();
    if (endedAgoMs !== undefined) fleet.post({kind: 'predecessors-ended', agoMs: endedAgoMs});
    let recoveredAt = Number.POSITIVE_INFINITY;
    const {onStep} = fleet;
    fleet.onStep = () => {
      onStep();
      const runs = fleet.workers.get('w1')?.runs.size ?? 0;
      // The spread limit keeps two tasks of the first submission from running on one worker.
      if (runs >= tasks + 2 && recoveredAt === Number.POSITIVE_INFINITY) recoveredAt = fleet.now;
    };
    fleet.run(takeoverAt + withinMs + marginMs);
    t.ok(hadRuns > 0, `${hadRuns} runs on the worker that is cut off`);
    t.ok(recoveredAt <= takeoverAt + withinMs + marginMs, `recovered at ${recoveredAt} ms`);
    t.ok(mostRuns <= 1, 'no task runs twice');
  });
}
