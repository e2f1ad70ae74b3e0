import fc from 'fast-check';
import t from 'tap';
import {ConfigurationFleet, currentDataCentres, type FleetProcess} from '../../src/fleet/index.js';

type Step =
  | {readonly kind: 'confirm'; readonly entry: number; readonly shouldRetry: boolean}
  | {readonly kind: 'outage'; readonly durationMs: number; readonly isHanging: boolean}
  | {readonly kind: 'cut'; readonly entry: number; readonly durationMs: number}
  | {readonly kind: 'kill'; readonly process: number; readonly downMs: number}
  | {readonly kind: 'wait'; readonly durationMs: number};

const steps: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('confirm'),
      entry: fc.nat(5),
      shouldRetry: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('outage'),
      durationMs: fc.nat(9000),
      isHanging: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('cut'), entry: fc.nat(5), durationMs: fc.nat(9000)}),
  },
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('kill'), process: fc.nat(14), downMs: fc.nat(4000)}),
  },
  {weight: 3, arbitrary: fc.record({kind: fc.constant('wait'), durationMs: fc.nat(3000)})},
);

function apply(fleet: ConfigurationFleet, step: Step, index: number): void {
  const {time, store} = fleet;
  switch (step.kind) {
    case 'confirm': {
      const entry = fleet.processes.filter(process => process.role === 'entry')[step.entry];
      if (!entry?.isAlive) return;
      const host = `host-${index}`;
      fleet.confirm(entry, `plan-${index}`, [{kind: 'drain-host', host}]);
      // An operator whose confirmation ended as unknown confirms the same plan again, through the first live entry.
      if (step.shouldRetry) time.schedule(5500, () => retry(fleet, `plan-${index}`, host));
      return;
    }
    case 'outage':
      store.isHanging = step.isHanging;
      store.setDown(true);
      time.schedule(step.durationMs, () => store.setDown(false));
      return;
    case 'cut': {
      const entry = fleet.entries[step.entry % fleet.entries.length] as FleetProcess;
      entry.isCutFromStore = true;
      time.schedule(step.durationMs, () => (entry.isCutFromStore = false));
      return;
    }
    case 'kill': {
      const process = fleet.processes[step.process % fleet.processes.length] as FleetProcess;
      fleet.kill(process, 500);
      time.schedule(step.downMs + 600, () => fleet.restart(process));
      return;
    }
    case 'wait':
      fleet.run(step.durationMs);
  }
}

function retry(fleet: ConfigurationFleet, planId: string, host: string): void {
  const first = fleet.confirmations.find(confirmation => confirmation.planId === planId);
  const entry = fleet.entries[0];
  if (first?.answer.outcome !== 'unknown' || !entry) return;
  fleet.confirm(entry, planId, [{kind: 'drain-host', host}]);
}

/** Compares the reported outcomes with the log in the store, and checks that all processes converged. */
function findProblems(fleet: ConfigurationFleet): string[] {
  const problems: string[] = [];
  const accepted = new Map(
    [...fleet.store.accepted.values()].map(change => [change.changeId, change.version]),
  );
  if (accepted.size !== fleet.store.accepted.size) problems.push('a change was accepted twice');
  const outcomesByPlan = new Map<string, string[]>();
  for (const {planId, answer} of fleet.confirmations) {
    outcomesByPlan.set(planId, [...(outcomesByPlan.get(planId) ?? []), answer.outcome]);
    if (answer.outcome === 'accepted' && accepted.get(planId) !== answer.version) {
      problems.push(
        `${planId} was reported as accepted at version ${answer.version} and is not in the log`,
      );
    }
  }
  for (const [planId, outcomes] of outcomesByPlan) {
    const isReportedNotAccepted = outcomes.every(
      outcome => outcome === 'refused' || outcome === 'unavailable',
    );
    if (isReportedNotAccepted && accepted.has(planId)) {
      problems.push(`${planId} was reported as not accepted and is in the log`);
    }
  }
  if (!fleet.isInForceEverywhere()) {
    const versions = fleet.processes.map(process => `${process.name}=${process.version}`);
    problems.push(
      `the head is at version ${fleet.store.getHead()?.version}, but ${versions.join(' ')}`,
    );
  }
  return problems;
}

void t.test(
  'no change is lost, accepted twice or reverted under concurrent confirmations, store faults and restarts',
  async t => {
    fc.assert(
      fc.property(
        fc.array(steps, {minLength: 5, maxLength: 40}),
        fc.nat(1000),
        (sequence, seed) => {
          const fleet = new ConfigurationFleet({
            dataCentres: currentDataCentres,
            seed: seed + 1,
            compactAtChanges: 8,
          });
          fleet.run(3000);
          fleet.store.faults = {lostAnswers: 0.2, lateWrites: 0.1, staleReads: 0.1, slowMs: 300};
          sequence.forEach((step, index) => {
            apply(fleet, step, index);
            fleet.run(fleet.random.below(1500));
          });
          fleet.run(20_000);
          fleet.store.faults = {lostAnswers: 0, lateWrites: 0, staleReads: 0, slowMs: 0};
          fleet.store.setDown(false);
          fleet.run(10_000);
          const problems = findProblems(fleet);
          if (problems.length > 0) throw new Error(problems.join('\n'));
        },
      ),
      {seed: 7, numRuns: 60},
    );
    t.pass('no change is lost, accepted twice or reverted');
  },
);
