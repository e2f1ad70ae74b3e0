import {checkHistory} from '../histories/check-history.js';
import type {Violation} from '../histories/promise.js';
import {getFaultOrThrow} from './fault.js';
import type {Point} from './kernel/interaction.js';
import type {CreateWorld} from './world.js';

/** Where and how a fault strikes. */
export interface Strike {
  readonly fault: string;
  readonly step: string;
  readonly point: Point;
  /** How many times the step passes the point before the fault strikes. */
  readonly skip: number;
}

/** One run of a world with faults. */
export interface FaultCase {
  readonly world: string;
  readonly seed: number;
  readonly strikes: readonly Strike[];
}

/** What came of a case. */
export interface CaseResult {
  readonly case: FaultCase;
  /** Whether each strike took place; a step that was never reached leaves its cell empty. */
  readonly struck: readonly boolean[];
  readonly violations: readonly Violation[];
  /** Message of an exception thrown by a reducer. */
  readonly error?: string;
}

/** Runs one case; the same case always gives the same result. */
export function runCase(faultCase: FaultCase, createWorld: CreateWorld): CaseResult {
  const world = createWorld(faultCase.seed);
  const struck = faultCase.strikes.map(() => false);
  const done = faultCase.strikes.map(() => false);
  const passes = faultCase.strikes.map(() => 0);
  world.listen(interaction => {
    faultCase.strikes.forEach((strike, index) => {
      if (done[index] || strike.step !== interaction.step || strike.point !== interaction.point) {
        return;
      }
      if (passes[index]!++ < strike.skip) return;
      done[index] = true;
      struck[index] = getFaultOrThrow(strike.fault).strike(world, interaction);
    });
  });
  try {
    return {case: faultCase, struck, violations: checkHistory(world.run())};
  } catch (error) {
    const message = error instanceof Error ? (error.stack ?? error.message) : String(error);
    return {case: faultCase, struck, violations: [], error: message};
  }
}

/** Tells whether a case kept all promises. */
export function isPassed(result: CaseResult): boolean {
  return result.violations.length === 0 && result.error === undefined;
}

/** Returns a case as one line that names everything needed to repeat it. */
export function formatCase({world, seed, strikes}: FaultCase): string {
  const parts = strikes.map(s => `${s.fault}@${s.step}/${s.point}+${s.skip}`);
  return `${world} seed=${seed} ${parts.join(' ')}`;
}

/** Reads a case as printed by `formatCase`. */
export function parseCase(text: string): FaultCase {
  const [world = '', seed = '', ...parts] = text.trim().split(/\s+/);
  const strikes = parts.map(part => {
    const match = /^([^@]+)@([^/]+)\/([^+]+)\+(\d+)$/.exec(part);
    if (!match) throw new RangeError(`Not a strike: ${part}`);
    return {fault: match[1]!, step: match[2]!, point: match[3] as Point, skip: Number(match[4])};
  });
  return {world, seed: Number(seed.replace('seed=', '')), strikes};
}
