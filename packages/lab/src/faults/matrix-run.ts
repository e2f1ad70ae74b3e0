import fc from 'fast-check';
import {promises, type PromiseName} from '../histories/promise.js';
import {faults} from './fault.js';
import {isPassed, runCase, type CaseResult, type FaultCase, type Strike} from './fault-case.js';
import {FaultMatrix} from './fault-matrix.js';
import {points} from './kernel/interaction.js';
import {SeededRandom} from './kernel/seeded-random.js';
import {getRows, protocolSteps, worlds, type ProtocolStep} from './protocols.js';

/** Size of a run of the matrix. */
export interface MatrixRunOptions {
  readonly seed: number;
  /** Cases in each cell with a single fault. */
  readonly singles: number;
  /** Cases with two faults. */
  readonly pairs: number;
  /** Share of the cells that are run, for a short run; 1 for all. */
  readonly share?: number;
  /** Worlds to run; all by default. */
  readonly worlds?: readonly string[];
}

/** What a run of the matrix found. */
export interface MatrixRun {
  readonly singles: FaultMatrix;
  readonly pairs: FaultMatrix;
  readonly failures: readonly CaseResult[];
  readonly passed: number;
  /** Violations by promise. */
  readonly violations: ReadonlyMap<PromiseName, number>;
}

const skipChoices = [0, 0, 1, 3, 10, 40];

/** Runs every fault at every step and point, and seeded pairs of them. */
export function runMatrix(options: MatrixRunOptions): MatrixRun {
  const steps = protocolSteps.filter(step => options.worlds?.includes(step.world) ?? true);
  const singles = new FaultMatrix();
  const pairs = new FaultMatrix();
  const failures: CaseResult[] = [];
  const violations = new Map<PromiseName, number>(promises.map(promise => [promise, 0]));
  let passed = 0;
  const take = (result: CaseResult, matrix: FaultMatrix) => {
    if (!result.struck.some(Boolean)) return;
    matrix.add(result);
    for (const promise of new Set(result.violations.map(violation => violation.promise))) {
      violations.set(promise, violations.get(promise)! + 1);
    }
    if (isPassed(result)) passed++;
    else failures.push(result);
  };
  for (const faultCase of createSingles(options, steps)) {
    take(runReached(faultCase), singles);
  }
  for (const faultCase of createPairs(options, steps)) take(runNamed(faultCase), pairs);
  return {singles, pairs, failures, passed, violations};
}

/** Runs a case in the world that it names. */
export function runNamed(faultCase: FaultCase): CaseResult {
  const createWorld = worlds[faultCase.world];
  if (!createWorld) throw new RangeError(`No world is called ${faultCase.world}`);
  return runCase(faultCase, createWorld);
}

/** Runs a case; when the step does not occur that often, strikes its first occurrence. */
function runReached(faultCase: FaultCase): CaseResult {
  const result = runNamed(faultCase);
  if (result.struck[0] || faultCase.strikes[0]!.skip === 0) return result;
  return runNamed({...faultCase, strikes: [{...faultCase.strikes[0]!, skip: 0}]});
}

function createSingles(options: MatrixRunOptions, steps: readonly ProtocolStep[]): FaultCase[] {
  const random = new SeededRandom(options.seed);
  const cases: FaultCase[] = [];
  for (const {world, step} of steps) {
    for (const point of points) {
      for (const {name: fault} of faults) {
        for (let i = 0; i < options.singles; i++) {
          const seed = 1 + Math.floor(random.next() * 1e6);
          const skip = random.pick(skipChoices);
          if (random.next() >= (options.share ?? 1)) continue;
          cases.push({world, seed, strikes: [{fault, step, point, skip}]});
        }
      }
    }
  }
  return cases;
}

function createPairs(options: MatrixRunOptions, steps: readonly ProtocolStep[]): FaultCase[] {
  if (options.pairs === 0) return [];
  return fc.sample(createCaseArbitrary(steps), {seed: options.seed, numRuns: options.pairs});
}

/** Arbitrary cases with two faults in one world. */
export function createCaseArbitrary(steps: readonly ProtocolStep[]): fc.Arbitrary<FaultCase> {
  const names = [...new Set(steps.map(step => step.world))];
  return fc.constantFrom(...names).chain(world => {
    const strike: fc.Arbitrary<Strike> = fc.record({
      fault: fc.constantFrom(...faults.map(fault => fault.name)),
      step: fc.constantFrom(...steps.filter(s => s.world === world).map(s => s.step)),
      point: fc.constantFrom(...points),
      skip: fc.nat(20),
    });
    return fc.record({
      world: fc.constant(world),
      seed: fc.integer({min: 1, max: 1_000_000}),
      strikes: fc.tuple(strike, strike),
    });
  });
}

/** Returns the matrices and the findings of a run as text. */
export function formatRun(run: MatrixRun, options: MatrixRunOptions): string {
  const rows = getRows().filter(row => options.worlds?.includes(row.world) ?? true);
  const columns = faults.map(fault => fault.name);
  const cells = rows.length * columns.length;
  const counts = [...run.violations].map(([promise, count]) => `${promise} ${count}`);
  return [
    `seed ${options.seed}, ${options.singles} cases a cell, ${options.pairs} pairs`,
    '',
    'Single faults (cases in each cell, a!b: b of a failed, . is empty):',
    run.singles.format(rows, columns),
    `${run.singles.countFilled()} of ${cells} cells filled`,
    '',
    'Pairs of faults (each pair counts in two cells):',
    run.pairs.format(rows, columns),
    `${run.pairs.countFilled()} of ${cells} cells filled`,
    '',
    `Cases that broke each promise: ${counts.join(', ')}`,
  ].join('\n');
}
