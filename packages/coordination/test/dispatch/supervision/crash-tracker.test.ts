import t from 'tap';
import {
  CrashingFleet,
  type CrashingFleetOptions,
  type CrashTimes,
  queue,
} from '../fleet/crashing-fleet.js';
import {createStep, createSubmission} from '../fleet/shared-load.js';

const id = '00000000000000b1';
const task = `${id}.0.0.0`;

const simultaneousCrashes: ReadonlyArray<{
  readonly name: string;
  readonly areCrashesReported: boolean;
  /** Times of the crash of the worker with the task, and of the other one. */
  readonly times: readonly [Partial<CrashTimes>, Partial<CrashTimes>];
}> = [
  {
    name: 'its agent reports the crash',
    areCrashesReported: true,
    times: [{noticeMs: 600}, {noticeMs: 1_000}],
  },
  {
    name: 'its next incarnation shows the crash',
    areCrashesReported: false,
    times: [{returnMs: 1_000}, {returnMs: 1_400}],
  },
];

for (const {name, areCrashesReported, times} of simultaneousCrashes) {
  void t.test(
    `a crash is not held against a run that was sent to the dead worker before ${name}`,
    async t => {
      const fleet = new CrashingFleet({workerCount: 2, areCrashesReported});
      fleet.submit(createSubmission(id, queue.key, [createStep({estimatedMs: 2_000})]));
      fleet.run(100);
      const [first] = [...fleet.workers.keys()].filter(agent =>
        fleet.workers.get(agent)?.runs.has(task),
      );
      const [second] = [...fleet.workers.keys()].filter(agent => agent !== first);
      if (first === undefined || second === undefined) throw new Error('the task does not run');
      fleet.crash(first, times[0]);
      fleet.crash(second, times[1]);
      fleet.run(20_000);
      t.ok(
        fleet.decisions.some(
          ({event, worker, run}) =>
            event === 'run-placed' && run === 2 && worker?.startsWith(`${second}-life`),
        ),
        'the task was sent to the dead worker',
      );
      t.equal(fleet.progress.get(id)?.final, 'completed');
    },
  );
}

const notices: ReadonlyArray<{
  readonly name: string;
  /** Age in milliseconds of the run when its worker crashes. */
  readonly ageMs: number;
  readonly areCrashesReported?: boolean;
  /** Whether the agent has noticed that the worker stopped answering. */
  readonly isSilenceKnown?: boolean;
  readonly expected: 'early' | 'late';
}> = [
  {name: 'reported by its agent', ageMs: 100, expected: 'early'},
  {name: 'reported by its agent', ageMs: 400, expected: 'late'},
  {
    name: 'shown by the next incarnation',
    ageMs: 100,
    areCrashesReported: false,
    expected: 'early',
  },
  {
    name: 'shown by the next incarnation',
    ageMs: 400,
    areCrashesReported: false,
    expected: 'late',
  },
  {
    name: 'shown by the next incarnation, at an unknown time',
    ageMs: 100,
    areCrashesReported: false,
    isSilenceKnown: false,
    expected: 'late',
  },
];

for (const {name, ageMs, areCrashesReported, isSilenceKnown, expected} of notices) {
  void t.test(
    `a crash ${name}, ${ageMs} ms after the start of a run, counts as ${expected}`,
    async t => {
      const fleet = new CrashingFleet({
        workerCount: 1,
        areCrashesReported: areCrashesReported ?? true,
        isSilenceKnown: isSilenceKnown ?? true,
      });
      // No list of the worker shows how long the run has worked.
      const firstReportMs = 1_000;
      fleet.run(firstReportMs);
      fleet.submit(createSubmission(id, queue.key, [createStep({estimatedMs: 5_000})]));
      fleet.run(firstReportMs + ageMs);
      fleet.crash('w0', {returnMs: 1_000});
      fleet.run(firstReportMs + ageMs + 1_500);
      const [row] = fleet.progress.get(id)?.crashes ?? [];
      const [early = [], late = []] = row?.slice(3) ?? [];
      t.same([early, late], expected === 'early' ? [['w0-life'], []] : [[], ['w0-life']]);
    },
  );
}

/** Runs the fleet until the task runs; returns the agent of its worker. */
function findAgent(fleet: CrashingFleet): string {
  for (; fleet.now < 120_000; fleet.run(fleet.now + 25)) {
    for (const [agent, {runs}] of fleet.workers) if (runs.has(task)) return agent;
  }
  throw new Error('the task does not run');
}

const chances: ReadonlyArray<{
  readonly name: string;
  readonly options?: CrashingFleetOptions;
  readonly estimatedMs: number;
  readonly rounds: number;
  /** Crashes the worker of the task, in a way that does not show for how long the task has worked. */
  readonly crash: (fleet: CrashingFleet, agent: string, round: number) => void;
}> = [
  {
    name: 'the answers to its starts are read late',
    options: {workerCount: 1},
    estimatedMs: 4_000,
    rounds: 3,
    crash: (fleet, agent) => {
      fleet.ownerPausedUntil = fleet.now + 1_500;
      fleet.run(fleet.now + 800);
      fleet.crash(agent);
    },
  },
  {
    name: 'another owner has adopted its runs',
    options: {workerCount: 4},
    estimatedMs: 25_000,
    rounds: 5,
    crash: (fleet, agent) => {
      fleet.run(fleet.now + 6_000);
      fleet.startOwner();
      fleet.run(fleet.now + 5_000);
      fleet.crash(agent);
    },
  },
  {
    name: 'runs that are never listed outlive the time of a crash in between',
    options: {workerCount: 1, areCrashesReported: false},
    estimatedMs: 2_000,
    rounds: 5,
    crash: (fleet, agent, round) => {
      const ageMs = round % 2 === 0 ? 100 : 375;
      fleet.run(fleet.now + ageMs);
      fleet.crash(agent, {returnMs: 1_500 - ageMs});
    },
  },
  {
    name: 'its runs have ended with the leases of the workers before',
    options: {workerCount: 4, areCrashesReported: false},
    estimatedMs: 4_500,
    rounds: 5,
    crash: (fleet, agent) => {
      fleet.run(fleet.now + 200);
      fleet.post({kind: 'agent-down', agent});
      fleet.silences.set(agent, 'both');
      fleet.run(fleet.now + 6_100);
      fleet.crash(agent, {returnMs: 100});
      fleet.run(fleet.now + 50);
      fleet.silences.delete(agent);
    },
  },
];

for (const {name, options, estimatedMs, rounds, crash} of chances) {
  void t.test(`a task is not given up after ${rounds} crashes although ${name}`, async t => {
    const fleet = new CrashingFleet(options);
    fleet.run(275);
    fleet.submit(createSubmission(id, queue.key, [createStep({estimatedMs})]));
    for (let round = 0; round < rounds; round += 1) {
      crash(fleet, findAgent(fleet), round);
      fleet.run(fleet.now + 1_000);
    }
    fleet.run(fleet.now + 60_000);
    t.equal(fleet.progress.get(id)?.final, 'completed');
  });
}

void t.test('a task is started again after two crashes soon after its starts', async t => {
  const fleet = new CrashingFleet({workerCount: 1});
  fleet.submit(createSubmission(id, queue.key, [createStep({estimatedMs: 2_000})]));
  for (let crashes = 0; crashes < 2; crashes += 1) {
    while (fleet.countRuns(task) === 0) fleet.run(fleet.now + 25);
    fleet.run(fleet.now + 150);
    fleet.crash('w0', {returnMs: 1_000});
  }
  fleet.run(fleet.now + 20_000);
  t.equal(fleet.progress.get(id)?.final, 'completed');
});
