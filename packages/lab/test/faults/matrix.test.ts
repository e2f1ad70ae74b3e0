import fc from 'fast-check';
import t from 'tap';
import {formatCase, hasPassed, parseCase, runCase} from '../../src/faults/fault-case.js';
import {FaultMatrix} from '../../src/faults/fault-matrix.js';
import {
  createFaultPairArbitrary,
  runMatrix,
  runCaseInNamedWorld,
} from '../../src/faults/matrix-run.js';
import {protocolSteps, worlds} from '../../src/faults/protocols.js';

const seed = 20_261_204;

for (const [world, sampledFraction] of [
  ['requests', 0.15],
  ['tasks', 0.2],
  ['configuration', 0.2],
] as const) {
  void t.test(
    `${world}: no promise is broken under a single fault, over a sample of the matrix`,
    async t => {
      t.comment(`seed ${seed}`);
      const run = runMatrix({
        seed,
        singlesPerCell: 1,
        pairCount: 0,
        sampledFraction,
        worlds: [world],
      });
      t.same(
        run.failures.map(failure => formatCase(failure.case)),
        [],
      );
      t.ok(run.passed >= 30, 'at least 30 cases passed, so the run is not empty');
    },
  );

  void t.test(`${world}: no promise is broken under two faults, over random pairs`, async t => {
    t.comment(`seed ${seed}`);
    const steps = protocolSteps.filter(step => step.world === world);
    const property = fc.property(createFaultPairArbitrary(steps), faultCase =>
      hasPassed(runCaseInNamedWorld(faultCase)),
    );
    const details = fc.check(property, {seed, numRuns: 25});
    t.notOk(details.failed, details.counterexample ? formatCase(details.counterexample[0]) : '');
  });
}

void t.test(
  'a case repeats exactly, so that its printed line is enough to reproduce a failure',
  async t => {
    for (const text of [
      'requests seed=12 kill-entry@dispatch/before-effect+3',
      'tasks seed=13 freeze-entry@start/before-send+1',
      'configuration seed=14 cut@config/before-answer+2 race@store:put:config/before-send+0',
    ]) {
      const faultCase = parseCase(text);
      t.equal(formatCase(faultCase), text);
      const createWorld = worlds[faultCase.world]!;
      const [first, second] = [
        createWorld(faultCase.seed).run(),
        createWorld(faultCase.seed).run(),
      ];
      t.equal(JSON.stringify(first), JSON.stringify(second), text);
    }
  },
);

void t.test(
  'a fault whose step is never reached does not count as a case in the matrix',
  async t => {
    const faultCase = parseCase('configuration seed=1 cut@no-such-step/before-send+0');
    const result = runCase(faultCase, worlds.configuration!);
    t.same(result.injected, [false]);
    const matrix = new FaultMatrix();
    matrix.add(result);
    t.equal(matrix.countFilledCells(), 0);
  },
);
