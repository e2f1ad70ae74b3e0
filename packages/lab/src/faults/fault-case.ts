import {checkHistory} from '../histories/check-history.js';
import type {Violation} from '../histories/promise.js';
import {getFaultOrThrow} from './fault.js';
import type {InjectionPoint} from './kernel/interaction.js';
import type {WorldFactory} from './world.js';

/** One fault and the place in a run at which it is injected. */
export interface FaultInjection {
  readonly fault: string;
  readonly step: string;
  readonly point: InjectionPoint;
  /** Number of occurrences of the step at this point that pass undisturbed before the injection. */
  readonly skip: number;
}

/** Everything that determines one run: the world, its seed and the injected faults. */
export interface FaultCase {
  readonly world: string;
  readonly seed: number;
  readonly injections: readonly FaultInjection[];
}

/** Result of one case. */
export interface CaseResult {
  readonly case: FaultCase;
  /** Whether each fault was injected; false when its step was not reached or the fault does not apply to it. */
  readonly injected: readonly boolean[];
  readonly violations: readonly Violation[];
  /** Stack or message of an exception that was thrown during the run. */
  readonly error?: string;
}

/** Runs one case. The run is deterministic: the same case and reducers always give the same result. */
export function runCase(faultCase: FaultCase, createWorld: WorldFactory): CaseResult {
  const world = createWorld(faultCase.seed);
  const injected = faultCase.injections.map(() => false);
  const done = faultCase.injections.map(() => false);
  const occurrences = faultCase.injections.map(() => 0);
  world.listen(interaction => {
    faultCase.injections.forEach((injection, index) => {
      if (
        done[index] ||
        injection.step !== interaction.step ||
        injection.point !== interaction.point
      ) {
        return;
      }
      if (occurrences[index]!++ < injection.skip) return;
      done[index] = true;
      injected[index] = getFaultOrThrow(injection.fault).inject(world, interaction);
    });
  });
  try {
    return {case: faultCase, injected, violations: checkHistory(world.run())};
  } catch (error) {
    const message = error instanceof Error ? (error.stack ?? error.message) : String(error);
    return {case: faultCase, injected, violations: [], error: message};
  }
}

/** Returns whether the run kept all promises and threw no exception. */
export function hasPassed(result: CaseResult): boolean {
  return result.violations.length === 0 && result.error === undefined;
}

/** Formats a case as one line from which `parseCase` restores it, to repeat the run. */
export function formatCase({world, seed, injections}: FaultCase): string {
  const parts = injections.map(s => `${s.fault}@${s.step}/${s.point}+${s.skip}`);
  return `${world} seed=${seed} ${parts.join(' ')}`;
}

/**
 * Parses a case as printed by `formatCase`; throws a RangeError when a fault injection is malformed. The names of the
 * world, faults, steps and points are not checked.
 */
export function parseCase(text: string): FaultCase {
  const [world = '', seed = '', ...parts] = text.trim().split(/\s+/);
  const injections = parts.map(part => {
    const match = /^([^@]+)@([^/]+)\/([^+]+)\+(\d+)$/.exec(part);
    if (!match)
      throw new RangeError(
        `not a fault injection: ${part}; expected <fault>@<step>/<point>+<skip>`,
      );
    return {
      fault: match[1]!,
      step: match[2]!,
      point: match[3] as InjectionPoint,
      skip: Number(match[4]),
    };
  });
  return {world, seed: Number(seed.replace('seed=', '')), injections};
}
