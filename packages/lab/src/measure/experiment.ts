/** Bound that a measure should keep. */
export interface Target {
  readonly atLeast?: number;
  readonly atMost?: number;
}

/** One figure of one run. */
export interface Measure {
  readonly name: string;
  readonly unit: string;
  readonly value: number;
  readonly target?: Target;
}

/** Values over virtual time, for a plot. */
export interface Series {
  readonly name: string;
  readonly unit: string;
  readonly points: ReadonlyArray<readonly [atMs: number, value: number]>;
}

/** Result of one policy in one scenario with one seed. */
export interface RunResult {
  readonly scenario: string;
  /** Name of the policy; baselines begin with `baseline`. */
  readonly policy: string;
  readonly measures: readonly Measure[];
  readonly series?: readonly Series[];
}

/** An experiment that the runner repeats with several seeds. */
export interface Experiment {
  readonly name: string;
  readonly title: string;
  readonly seeds: readonly number[];
  /** Runs every scenario with every policy; the same seed gives the same figures. */
  run(seed: number): readonly RunResult[];
}

/** Whether a value keeps its target. */
export function isMet(target: Target, value: number): boolean {
  return value >= (target.atLeast ?? -Infinity) && value <= (target.atMost ?? Infinity);
}
