import {getCrashTiming, type CrashTiming} from './crash-history.js';
import type {Run, Task} from '../task.js';

/**
 * Number of crashes soon after the start of a run from which a suspect is given up, although other tasks may have caused the
 * latest one.
 */
const maxEarlyCrashes = 4;
/** The same when no other task can have caused the latest one. Two crashes in a row also meet tasks that crash nothing. */
const maxDecisiveCrashes = 3;
/** Number of crashes, early or late, from which a suspect is given up when the latest one came soon after the start of the run. */
const maxCrashes = 5;
/**
 * Number of crashes from which a suspect is given up when the latest one did not come soon after the start of the run, as
 * crashes with other causes do; and only if it came while no other task can have caused it.
 */
const maxLateCrashes = 4;

/** What the crash of a worker says of one task. */
export interface CrashVerdict {
  readonly task: Task;
  readonly timing: CrashTiming;
  /** Age in milliseconds of its run at the crash. */
  readonly ageMs: number;
  /** Whether the task must not be started again. */
  readonly isGivenUp: boolean;
}

/** A run that was on a worker when it crashed. */
export interface CrashedRun {
  readonly run: Run;
  /** Time in milliseconds for which the run may have worked. */
  readonly ageMs: number;
  /** Time in milliseconds for which it has certainly worked. */
  readonly workedMs: number;
}

/**
 * Decides which of the runs on a worker its crash is held against. Suspects of earlier crashes come first; the other
 * runs become suspects only when there is none of these. A submission fails as a whole, so a crash is decisive when all
 * tasks that can have caused it belong to the same one.
 */
export function blameCrash(runs: ReadonlyArray<Pick<CrashedRun, 'run' | 'ageMs'>>): CrashVerdict[] {
  const candidates = runs.flatMap(({run, ageMs}) => {
    const timing = getCrashTiming(ageMs);
    return timing === undefined ? [] : [{task: run.task, timing, ageMs}];
  });
  const suspects = candidates.filter(
    ({task, ageMs}) => task.crashes.isSuspect && !task.crashes.isOutlived(ageMs),
  );
  const others = candidates.filter(candidate => !suspects.includes(candidate));
  const possibleCauses = [...suspects, ...others.filter(({timing}) => timing === 'early')];
  const isDecisive = new Set(possibleCauses.map(({task}) => task.submission)).size === 1;
  const limit = isDecisive ? maxDecisiveCrashes : maxEarlyCrashes;
  const isAlone = new Set(candidates.map(({task}) => task.submission)).size === 1;
  const hasCausedAll = ({crashes}: Task, timing: CrashTiming) =>
    timing === 'early'
      ? crashes.earlyCount + 1 >= limit || crashes.count + 1 >= maxCrashes
      : isAlone && crashes.count + 1 >= maxLateCrashes;
  const verdicts: CrashVerdict[] = suspects.map(({task, timing, ageMs}) => ({
    task,
    timing,
    ageMs,
    // Serving tasks are started again however they end.
    isGivenUp: !task.step.lasting && hasCausedAll(task, timing),
  }));
  // A crash that is explained says nothing of the other tasks.
  if (verdicts.some(({timing, isGivenUp}) => isGivenUp && timing === 'early')) {
    return verdicts.filter(({isGivenUp, timing}) => isGivenUp && timing === 'early');
  }
  for (const {task, timing, ageMs} of others) {
    verdicts.push({task, timing: suspects.length > 0 ? 'late' : timing, ageMs, isGivenUp: false});
  }
  return verdicts;
}
