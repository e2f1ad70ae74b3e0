import t from 'tap';
import {getSubmissionBytes} from '../../src/submissions/index.js';
import {createStep, createSubmission} from './fleet/shared-load.js';
import {createQueue, VirtualFleet, type VirtualFleetOptions} from './fleet/virtual-fleet.js';
import type {VirtualWorker} from './fleet/virtual-worker.js';

const quick = createQueue({name: 'quick', stretchFactor: 100, targetLatencyMs: 60_000});
const watch = createQueue({name: 'watch', priority: 1, maxAttempts: 9});
const heldId = '00000000000000a1';
const heldTask = `${heldId}.0.0.0`;
const otherId = '00000000000000b1';
const failingId = '00000000000000c1';
const longId = '00000000000000d1';
const longTask = `${longId}.0.0.0`;
const cores = 16;
const servingCores = 4;

const held = createSubmission(heldId, quick.key, [createStep({})], {spec: 'x'.repeat(5_000)});
const other = createSubmission(otherId, quick.key, [createStep({})], {spec: held.spec});
const serving = createStep({cores: servingCores, lasting: true});
const heldBytes = getSubmissionBytes(held);

function createFleet(options: Partial<VirtualFleetOptions>): VirtualFleet {
  return new VirtualFleet({
    seed: 1,
    queues: [quick, watch],
    workers: Array.from({length: 4}, (_, index) => ({
      agent: `w${index}`,
      life: `w${index}-life`,
      cores,
      rack: `r${index}`,
    })),
    ...options,
  });
}

function runUntil(fleet: VirtualFleet, isReached: () => boolean): void {
  while (!isReached()) {
    if (fleet.now > 30_000) throw new Error('the situation of the case was not reached in 30 s');
    fleet.run(fleet.now + 25);
  }
}

function findWorker(fleet: VirtualFleet, task: string): VirtualWorker | undefined {
  return [...fleet.workers.values()].find(worker => worker.runs.has(task));
}

/** Whether a worker that is not silent has no runs that reserve cores. */
function hasEmptyWorker({workers, silences}: VirtualFleet): boolean {
  return [...workers.values()].some(
    ({options, reservedCores}) => reservedCores === 0 && !silences.has(options.agent),
  );
}

/** Returns the workers on which runs have been placed since a time in milliseconds. */
function getPlacements(fleet: VirtualFleet, submission: string, since: number): string[] {
  return fleet.decisions
    .filter(entry => entry.event === 'run-placed' && entry.at >= since)
    .filter(entry => entry.submission === submission)
    .map(entry => entry.worker ?? '');
}

/** Silences a worker, and leaves a submission in the store until another one has ended. */
function deferBesideSilentWorker(fleet: VirtualFleet): void {
  fleet.submit(other);
  runUntil(fleet, () => findWorker(fleet, `${otherId}.0.0.0`) !== undefined);
  const idle = [...fleet.workers.values()].find(worker => worker.runs.size === 0);
  fleet.silences.set(idle?.options.agent ?? '', 'from-agent');
  fleet.submit(held);
  runUntil(fleet, () => fleet.endedAt.has(otherId));
}

/** Puts the worker of a serving task on probation with a long run. */
function putOnProbation(fleet: VirtualFleet): VirtualWorker {
  fleet.submit(createSubmission(heldId, watch.key, [serving]));
  runUntil(fleet, () => findWorker(fleet, heldTask) !== undefined);
  const worker = findWorker(fleet, heldTask);
  if (worker === undefined) throw new Error('the serving task has no worker');
  worker.isFailing = true;
  const failing = createStep({count: 40, cores: servingCores});
  fleet.submit(createSubmission(failingId, watch.key, [failing]));
  runUntil(fleet, () => fleet.decisions.some(({event}) => event === 'worker-suspended'));
  worker.isFailing = false;
  runUntil(fleet, () => fleet.endedAt.has(failingId));
  const long = createStep({label: worker.options.rack, estimatedMs: 60_000});
  fleet.submit(createSubmission(longId, quick.key, [long]));
  runUntil(fleet, () => worker.runs.has(longTask));
  return worker;
}

const cases: ReadonlyArray<{
  readonly name: string;
  readonly options?: Partial<VirtualFleetOptions>;
  /** Brings about the situation in which the work has to start. */
  readonly act: (fleet: VirtualFleet) => void;
  /** Time in milliseconds from then on within which it has to be done. */
  readonly limitMs: number;
  readonly isDone: (fleet: VirtualFleet, since: number) => boolean;
  /** Whether there was room for it meanwhile. */
  readonly hadRoom: (fleet: VirtualFleet, since: number) => boolean;
}> = [
  {
    name: 'a loaded submission starts although a connected worker does not list its runs',
    options: {timing: {maxLoadedBytes: heldBytes * 1.5}},
    act: deferBesideSilentWorker,
    // The leases of all runs on the silent worker have ended by then.
    limitMs: 12_000,
    isDone: (fleet, since) => getPlacements(fleet, heldId, since).length > 0,
    hadRoom: hasEmptyWorker,
  },
  {
    name: 'a submission larger than the memory beside a serving one is loaded and completed',
    options: {timing: {maxLoadedBytes: heldBytes}},
    act: fleet => {
      fleet.submit(createSubmission(otherId, watch.key, [serving]));
      fleet.submit(held);
    },
    limitMs: 30_000,
    isDone: fleet => fleet.progress.get(heldId)?.final === 'completed',
    hadRoom: hasEmptyWorker,
  },
  {
    name: 'a serving task does not wait for room on a worker on probation',
    act: fleet => {
      const worker = putOnProbation(fleet);
      const flood = createStep({count: 400, cores: servingCores, estimatedMs: 900});
      fleet.submit(createSubmission(otherId, quick.key, [flood]));
      // All runs of the worker end with its lease.
      fleet.silences.set(worker.options.agent, 'to-agent');
      runUntil(fleet, () => worker.runs.size === 0);
      fleet.silences.clear();
    },
    limitMs: 9_000,
    isDone: (fleet, since) => getPlacements(fleet, heldId, since).length > 0,
    // Tasks of the same size are placed on other workers.
    hadRoom: (fleet, since) => {
      const life = findWorker(fleet, longTask)?.options.life;
      return getPlacements(fleet, otherId, since + 1_000).some(other => other !== life);
    },
  },
];

for (const {name, options = {}, act, limitMs, isDone, hadRoom} of cases) {
  void t.test(name, async t => {
    const fleet = createFleet(options);
    act(fleet);
    const since = fleet.now;
    fleet.run(since + limitMs);
    t.ok(hadRoom(fleet, since), 'there is room for it');
    t.ok(isDone(fleet, since), `done within ${limitMs} ms`);
  });
}
