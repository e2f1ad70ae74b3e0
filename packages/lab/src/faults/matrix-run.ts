import fc from 'fast-check';
import {promises, type PromiseName} from '../histories/promise.js';
import {faults} from './fault.js';
import {
  hasPassed,
  runCase,
  type CaseResult,
  type FaultCase,
  type FaultInjection,
} from './fault-case.js';
import {FaultMatrix} from './fault-matrix.js';
import {injectionPoints} from './kernel/interaction.js';
import {SeededRandom} from './kernel/seeded-random.js';
import {getMatrixRows, protocolSteps, worlds, type ProtocolStep} from './protocols.js';

/** Size of a run of the matrix. */
export interface MatrixRunOptions {
  readonly seed: number;
  /** Number of cases with a single fault for each cell of the matrix. */
  readonly singlesPerCell: number;
  /** Number of cases with two faults. */
  readonly pairCount: number;
  /** Fraction of the single-fault cases to run, chosen at random, from 0 to 1; 1 by default. */
  readonly sampledFraction?: number;
  /** Names of the worlds to run; all by default. */
  readonly worlds?: readonly string[];
}

/** Result of a run of the matrix; cases in which no fault could be injected are not counted. */
export interface MatrixRun {
  readonly singles: FaultMatrix;
  readonly pairs: FaultMatrix;
  readonly failures: readonly CaseResult[];
  readonly passed: number;
  /** Number of cases that violated each promise. */
  readonly violatingCaseCounts: ReadonlyMap<PromiseName, number>;
}

/** Occurrences of a step to skip before an injection; 0 is listed twice so that it is chosen more often. */
const skipCounts = [0, 0, 1, 3, 10, 40];

/** Runs each fault at each step and point, and randomly chosen pairs of faults; the seed determines all cases. */
export function runMatrix(options: MatrixRunOptions): MatrixRun {
  const steps = protocolSteps.filter(step => options.worlds?.includes(step.world) ?? true);
  const singles = new FaultMatrix();
  const pairs = new FaultMatrix();
  const failures: CaseResult[] = [];
  const violatingCaseCounts = new Map<PromiseName, number>(promises.map(promise => [promise, 0]));
  let passed = 0;
  const addResult = (result: CaseResult, matrix: FaultMatrix) => {
    if (!result.injected.some(Boolean)) return;
    matrix.add(result);
    for (const promise of new Set(result.violations.map(violation => violation.promise))) {
      violatingCaseCounts.set(promise, violatingCaseCounts.get(promise)! + 1);
    }
    if (hasPassed(result)) passed++;
    else failures.push(result);
  };
  for (const faultCase of createSingleFaultCases(options, steps)) {
    addResult(runWithFirstOccurrenceFallback(faultCase), singles);
  }
  for (const faultCase of createFaultPairCases(options, steps))
    addResult(runCaseInNamedWorld(faultCase), pairs);
  return {singles, pairs, failures, passed, violatingCaseCounts};
}

/** Runs a case in the world that it names; throws a RangeError when there is no such world. */
export function runCaseInNamedWorld(faultCase: FaultCase): CaseResult {
  const createWorld = worlds[faultCase.world];
  if (!createWorld) throw new RangeError(`unknown world: ${faultCase.world}`);
  return runCase(faultCase, createWorld);
}

/** Runs a case; if its fault was not injected, runs it again with the fault at the first occurrence of the step. */
function runWithFirstOccurrenceFallback(faultCase: FaultCase): CaseResult {
  const result = runCaseInNamedWorld(faultCase);
  if (result.injected[0] || faultCase.injections[0]!.skip === 0) return result;
  return runCaseInNamedWorld({...faultCase, injections: [{...faultCase.injections[0]!, skip: 0}]});
}

function createSingleFaultCases(
  options: MatrixRunOptions,
  steps: readonly ProtocolStep[],
): FaultCase[] {
  const random = new SeededRandom(options.seed);
  const cases: FaultCase[] = [];
  for (const {world, step} of steps) {
    for (const point of injectionPoints) {
      for (const {name: fault} of faults) {
        for (let i = 0; i < options.singlesPerCell; i++) {
          const seed = 1 + Math.floor(random.next() * 1e6);
          const skip = random.pick(skipCounts);
          if (random.next() >= (options.sampledFraction ?? 1)) continue;
          cases.push({world, seed, injections: [{fault, step, point, skip}]});
        }
      }
    }
  }
  return cases;
}

function createFaultPairCases(
  options: MatrixRunOptions,
  steps: readonly ProtocolStep[],
): FaultCase[] {
  if (options.pairCount === 0) return [];
  return fc.sample(createFaultPairArbitrary(steps), {
    seed: options.seed,
    numRuns: options.pairCount,
  });
}

/** Returns a fast-check arbitrary that generates cases with two faults in one world. */
export function createFaultPairArbitrary(steps: readonly ProtocolStep[]): fc.Arbitrary<FaultCase> {
  const worldNames = [...new Set(steps.map(step => step.world))];
  return fc.constantFrom(...worldNames).chain(world => {
    const injection: fc.Arbitrary<FaultInjection> = fc.record({
      fault: fc.constantFrom(...faults.map(fault => fault.name)),
      step: fc.constantFrom(...steps.filter(s => s.world === world).map(s => s.step)),
      point: fc.constantFrom(...injectionPoints),
      skip: fc.nat(20),
    });
    return fc.record({
      world: fc.constant(world),
      seed: fc.integer({min: 1, max: 1_000_000}),
      injections: fc.tuple(injection, injection),
    });
  });
}

/** Formats the matrices and the number of violations of a run as text. */
export function formatRun(run: MatrixRun, options: MatrixRunOptions): string {
  const rows = getMatrixRows().filter(row => options.worlds?.includes(row.world) ?? true);
  const columns = faults.map(fault => fault.name);
  const cells = rows.length * columns.length;
  const violationTexts = [...run.violatingCaseCounts].map(
    ([promise, count]) => `${promise} ${count}`,
  );
  return [
    `seed ${options.seed}, ${options.singlesPerCell} cases a cell, ${options.pairCount} pairs`,
    '',
    'Single faults (cases in each cell, a!b: b of a failed, . is empty):',
    run.singles.format(rows, columns),
    `${run.singles.countFilledCells()} of ${cells} cells filled`,
    '',
    'Pairs of faults (each pair counts in two cells):',
    run.pairs.format(rows, columns),
    `${run.pairs.countFilledCells()} of ${cells} cells filled`,
    '',
    `Cases that broke each promise: ${violationTexts.join(', ')}`,
  ].join('\n');
}
