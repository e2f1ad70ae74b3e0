/** Bounds, both inclusive, that a measure has to meet. */
export interface Target {
  readonly atLeast?: number;
  readonly atMost?: number;
}

/** One named value measured in one run. */
export interface Measure {
  readonly name: string;
  readonly unit: string;
  readonly value: number;
  readonly target?: Target;
}

/** Values over virtual time in milliseconds, for a plot. */
export interface Series {
  readonly name: string;
  readonly unit: string;
  readonly points: ReadonlyArray<readonly [atMs: number, value: number]>;
}

/** Result of one policy in one scenario with one seed. */
export interface RunResult {
  readonly scenario: string;
  /** Name of the policy; names of baselines start with `baseline`, and their missed targets are not counted. */
  readonly policy: string;
  readonly measures: readonly Measure[];
  readonly series?: readonly Series[];
}

/** An experiment that the runner repeats with each of its seeds. */
export interface Experiment {
  readonly name: string;
  readonly title: string;
  readonly seeds: readonly number[];
  /** Runs every scenario with every policy. The same seed gives the same values, except for measured real time. */
  run(seed: number): readonly RunResult[];
}

/** Whether a value is within the bounds of a target. */
export function isMet(target: Target, value: number): boolean {
  return value >= (target.atLeast ?? -Infinity) && value <= (target.atMost ?? Infinity);
}
