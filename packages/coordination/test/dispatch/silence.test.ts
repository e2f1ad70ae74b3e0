import t, {type Test} from 'tap';
import {createStep, createSubmission} from './fleet/shared-load.js';
import {createQueue, type Silence, VirtualFleet} from './fleet/virtual-fleet.js';

const queue = createQueue({name: 'work', stretchFactor: 100, targetLatencyMs: 60_000});
const finiteId = '00000000000000e1';
const servingId = '00000000000000e2';
const workers = 6;
const racks = 2;
/** Times in milliseconds at which the silence begins and the simulation ends. */
const silentAt = 3_000;
const endAt = 40_000;
/** Longest silence in milliseconds that no lease of 6 s runs out in; the latest renewal may be 1 s old. */
const longestSilenceMs = 4_500;

type Scope = 'one worker' | 'a rack' | 'all workers';

function createBusyFleet(): VirtualFleet {
  const fleet = new VirtualFleet({
    seed: 5,
    queues: [queue],
    workers: Array.from({length: workers}, (_, index) => ({
      agent: `w${index}`,
      life: `w${index}-life`,
      cores: 16,
      rack: `r${index % racks}`,
    })),
  });
  const finite = createStep({count: workers * 4, cores: 2, estimatedMs: 12_000});
  fleet.submit(createSubmission(finiteId, queue.key, [finite]));
  const serving = createStep({count: workers, cores: 3, lasting: true});
  fleet.submit(createSubmission(servingId, queue.key, [serving]));
  // Work that is submitted during the silence tries to use the silent workers.
  fleet.run(silentAt);
  return fleet;
}

function isInScope(agent: number, scope: Scope): boolean {
  return scope === 'all workers' || (scope === 'a rack' ? agent % racks === 0 : agent === 0);
}

/** Counts the steps in which a task ran on two workers. */
function countOverlaps(fleet: VirtualFleet): {count: number} {
  const overlaps = {count: 0};
  fleet.onStep = () => {
    for (const id of [finiteId, servingId]) {
      for (let index = 0; index < workers * 4; index += 1) {
        if (fleet.countRuns(`${id}.0.0.${index}`) > 1) overlaps.count += 1;
      }
    }
  };
  return overlaps;
}

function getEvents(fleet: VirtualFleet, event: string, since = 0): string[] {
  return fleet.decisions
    .filter(decision => decision.event === event && decision.at >= since)
    .map(decision => `${decision.at} ${decision.event} ${decision.task ?? decision.worker}`);
}

/** Checks that nothing was started again, stopped or held against a worker. */
function checkUndisturbed(t: Test, fleet: VirtualFleet, overlaps: {readonly count: number}) {
  t.same(getEvents(fleet, 'run-placed', silentAt), [], 'no run is started again');
  t.same(getEvents(fleet, 'run-stopped'), [], 'no run is stopped');
  t.same(getEvents(fleet, 'worker-suspended'), [], 'no worker is suspended');
  t.equal(overlaps.count, 0, 'no task runs twice');
  t.equal(fleet.progress.get(finiteId)?.final, 'completed');
}

const silences: readonly Silence[] = ['from-agent', 'to-agent', 'both'];
const scopes: readonly Scope[] = ['one worker', 'a rack', 'all workers'];
for (const silence of silences) {
  for (const scope of scopes) {
    for (const silentMs of [1_000, 2_600, longestSilenceMs]) {
      const name = `${scope} silent ${silence} for ${silentMs} ms`;
      void t.test(`${name}: the work goes on where it is`, t => {
        const fleet = createBusyFleet();
        const overlaps = countOverlaps(fleet);
        for (let index = 0; index < workers; index += 1) {
          if (isInScope(index, scope)) fleet.silences.set(`w${index}`, silence);
        }
        fleet.run(silentAt + silentMs);
        fleet.silences.clear();
        fleet.run(endAt);
        checkUndisturbed(t, fleet, overlaps);
        t.end();
      });
    }
  }
}

for (const pausedMs of [1_000, 2_600, longestSilenceMs]) {
  void t.test(`an owner that was paused for ${pausedMs} ms leaves the work where it is`, t => {
    const fleet = createBusyFleet();
    const overlaps = countOverlaps(fleet);
    fleet.ownerPausedUntil = silentAt + pausedMs;
    fleet.run(endAt);
    checkUndisturbed(t, fleet, overlaps);
    t.end();
  });
}

for (const silence of silences) {
  void t.test(`a rack silent ${silence} beyond its lease: no task runs twice`, t => {
    const fleet = createBusyFleet();
    const overlaps = countOverlaps(fleet);
    for (let index = 0; index < workers; index += racks) fleet.silences.set(`w${index}`, silence);
    fleet.run(silentAt + 9_000);
    fleet.silences.clear();
    fleet.run(endAt);
    t.equal(overlaps.count, 0);
    t.equal(fleet.progress.get(finiteId)?.final, 'completed');
    t.end();
  });
}
